//! Which messages are accepted, and which of them exceed their tenant's share.

use super::*;

/// A tenant may be this many seconds ahead of its share.
const MAX_SHARE_BURST_S: f64 = 3.0;

impl Sender {
    /// Accepts a message. An id that is handed in twice is held once, and a message of an unknown class is
    /// declined.
    pub(super) fn accept_message(&mut self, now: Micros, message: &Message, actions: &mut Vec<Action>) {
        if self.messages.contains_key(&message.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(usize::from(message.class.0)) else {
            return actions.push(Action::Decline { id: message.id, retry_after: SECOND });
        };
        let destination = self.destinations.entry(message.destination).or_default();
        push_recent(&mut destination.recent_demand, now, DEMAND_WINDOW);
        let mut over_share = false;
        let tenant = usize::from(message.tenant.0);
        let quota = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s);
        if let Some(quota) = quota.filter(|q| *q > 0.0) {
            self.tenant_demand_counts[tenant] += 1;
            over_share = self.tenant_clocks[tenant] > now + Micros::from_secs(MAX_SHARE_BURST_S);
            if !over_share {
                let own_quota =
                    self.beliefs.as_ref().and_then(|b| b.tenant_share(now, message.tenant, quota));
                let even_gap = f64::from(self.settings.senders.max(1)) / quota;
                let gap = Micros::from_secs(own_quota.map_or(even_gap, |own| 1.0 / own));
                self.tenant_clocks[tenant] = self.tenant_clocks[tenant].max(now) + gap;
            }
        }
        let (all, within_share) = destination.handed_in;
        destination.handed_in = (all + 1, within_share + u64::from(!over_share));
        let key = message.key.filter(|_| class.in_order);
        let queues = &mut self.key_queues;
        key.into_iter().for_each(|key| queues.entry(key).or_default().messages.push_back(message.id));
        let held = HeldMessage::new(now, Message { key, ..message.clone() }, class, over_share);
        self.send_queue.add(now, &held);
        self.messages.insert(message.id, held);
    }
}
