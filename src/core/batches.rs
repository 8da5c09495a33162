//! Groups the attempts that the decision module orders for one endpoint in one turn into one call, up to the limit in the
//! settings for its kind. The members stay separate fetches; the call waits until all answers that accepted them are written.

use super::{Core, Fetch, Order};
use crate::api::{EndpointId, KindId, Micros};
use std::collections::BTreeMap;

/// An attempt that the decision module has ordered.
pub(super) struct OrderedAttempt {
    /// The message.
    pub msg: u64,
    /// The endpoint to call.
    pub endpoint: EndpointId,
    /// The longest time that the attempt may take.
    pub timeout: Micros,
}

/// A batch that waits for answers to be written.
struct PendingBatch {
    fetches: Vec<Fetch>,
    /// Number of answers still to be written.
    unwritten_answers: usize,
}

/// Batch limits and the batches that wait.
pub(super) struct Batches {
    /// Most messages in one call, by kind of endpoint.
    max_messages_by_kind: Vec<u32>,
    kinds: BTreeMap<EndpointId, KindId>,
    pending: BTreeMap<u64, PendingBatch>,
    next_batch: u64,
}

impl Batches {
    pub(super) fn new(most: Vec<u32>) -> Batches {
        Batches {
            max_messages_by_kind: most,
            kinds: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_batch: 0,
        }
    }

    /// Records the kind of a listed endpoint.
    pub(super) fn set_kind(&mut self, at: EndpointId, kind: KindId) {
        self.kinds.insert(at, kind);
    }

    /// The kind of a listed endpoint.
    pub(super) fn kind(&self, at: EndpointId) -> Option<KindId> {
        self.kinds.get(&at).copied()
    }

    /// Forgets an endpoint.
    pub(super) fn remove_endpoint(&mut self, at: EndpointId) {
        self.kinds.remove(&at);
    }

    fn max_messages(&self, at: EndpointId) -> usize {
        let most = self.kinds.get(&at).and_then(|kind| self.max_messages_by_kind.get(usize::from(kind.0)));
        most.map_or(1, |most| (*most as usize).max(1))
    }

    /// Groups attempts into calls, in the order of the first attempt of each call.
    pub(super) fn group_into_calls(&self, tries: Vec<OrderedAttempt>) -> Vec<Vec<OrderedAttempt>> {
        let mut calls: Vec<Vec<OrderedAttempt>> = Vec::new();
        let mut open: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for one in tries {
            let room = open
                .get(&one.endpoint)
                .copied()
                .filter(|n| calls[*n].len() < self.max_messages(one.endpoint));
            match room {
                Some(n) => calls[n].push(one),
                None => {
                    open.insert(one.endpoint, calls.len());
                    calls.push(vec![one]);
                }
            }
        }
        calls
    }
}

/// A call's timeout is at least this share of the longest timeout among its members.
const MIN_TIMEOUT_SHARE: f64 = 0.25;

/// Splits fetches into calls whose members share one deadline that no member's own deadline precedes. If a member's message
/// ended while the call was still open, the answer for the other members could be lost, as a call ends as a whole. Most
/// answers arrive long before the deadline and each further call counts against the concurrency limit, so only fetches with
/// very little time left get a call of their own.
pub(super) fn split_by_deadline(now: Micros, mut fetches: Vec<Fetch>) -> Vec<Vec<Fetch>> {
    let longest = fetches.iter().map(|fetch| fetch.deadline).max().unwrap_or_default();
    fetches.iter_mut().for_each(|fetch| fetch.deadline = longest.min(fetch.req.due));
    fetches.sort_by_key(|fetch| std::cmp::Reverse(fetch.deadline));
    let mut calls: Vec<Vec<Fetch>> = Vec::new();
    for fetch in fetches {
        let joins = |call: &&mut Vec<Fetch>| {
            call.first()
                .is_some_and(|first| fetch.deadline - now >= (first.deadline - now).scale(MIN_TIMEOUT_SHARE))
        };
        match calls.last_mut().filter(joins) {
            Some(call) => call.push(fetch),
            None => calls.push(vec![fetch]),
        }
    }
    for call in &mut calls {
        let least = call.iter().map(|fetch| fetch.deadline).min().unwrap_or_default();
        call.iter_mut().for_each(|fetch| fetch.deadline = least);
    }
    calls
}

impl Core {
    /// Starts a batch at once, or when the last answer that it waits for is written.
    pub(super) fn start_batch(&mut self, fetches: Vec<Fetch>) {
        let batch = self.batches.next_batch;
        let mut waits = 0;
        for fetch in &fetches {
            if let Some(held) =
                self.messages.get_mut(&fetch.msg).filter(|held| held.orders_after_answer.is_some())
            {
                held.waiting_batch = Some(batch);
                waits += 1;
            }
        }
        if waits == 0 {
            return self.order(Order::Batch(fetches));
        }
        self.batches.next_batch += 1;
        self.batches.pending.insert(batch, PendingBatch { fetches, unwritten_answers: waits });
    }

    /// Counts one answer that the batch waited for as written or abandoned, and starts the batch after the last.
    pub(super) fn batch_answer_resolved(&mut self, batch: u64) {
        let Some(gathering) = self.batches.pending.get_mut(&batch) else { return };
        gathering.unwritten_answers -= 1;
        if gathering.unwritten_answers > 0 {
            return;
        }
        let Some(PendingBatch { mut fetches, .. }) = self.batches.pending.remove(&batch) else { return };
        match fetches.len() {
            0 => {}
            1 => fetches.drain(..).for_each(|fetch| self.order(Order::Fetch(fetch))),
            _ => self.order(Order::Batch(fetches)),
        }
    }

    /// Removes a message whose answer was not written from its batch; returns its fetch, which never began.
    pub(super) fn leave_batch(&mut self, msg: u64) -> Option<Fetch> {
        let batch = self.messages.get_mut(&msg)?.waiting_batch.take()?;
        let fetches = &mut self.batches.pending.get_mut(&batch)?.fetches;
        let place = fetches.iter().position(|fetch| fetch.msg == msg);
        let fetch = place.map(|place| fetches.remove(place));
        self.batch_answer_resolved(batch);
        fetch
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::{Backend, Req};
    use std::sync::Arc;

    fn fetch(msg: u64, until_ms: u64, due_ms: u64) -> Fetch {
        let req = Req {
            front: 0,
            id: msg.to_string(),
            class: 0,
            tenant: 0,
            dest: 1,
            due: Micros(due_ms * 1_000),
            keep_id_until: Micros(0),
            head: String::new(),
            body: Vec::new().into(),
        };
        let backend =
            Arc::new(Backend { name: "b".into(), addr: "127.0.0.1:1".parse().unwrap(), zone: None, dest: 1 });
        let at = EndpointId { addr: [0; 4], port: 0 };
        Fetch {
            msg,
            attempt: 0,
            endpoint: at,
            backend,
            req: Arc::new(req),
            deadline: Micros(until_ms * 1_000),
        }
    }

    #[test]
    fn no_message_of_a_call_ends_while_the_others_are_waited_for() {
        let now = Micros(5_000_000);
        // Each has a timeout of one second, or less if its message is due sooner; the third has half a second.
        let dues = [90_000, 5_400, 80_000, 5_240, 5_030, 6_000, 5_200, 70_000, 5_990];
        let until = |i: usize, due: u64| due.min(if i == 2 { 5_500 } else { 6_000 });
        let fetches = dues.iter().enumerate().map(|(i, due)| fetch(i as u64, until(i, *due), *due)).collect();
        let calls = split_by_deadline(now, fetches);
        for call in &calls {
            for member in call {
                assert_eq!(member.deadline, call[0].deadline);
                assert!(member.deadline <= member.req.due, "{} ends while its call is out", member.msg);
                let own = member.req.due.min(Micros(6_000_000));
                assert!(
                    member.deadline - now >= (own - now).scale(MIN_TIMEOUT_SHARE),
                    "{} is cut short",
                    member.msg
                );
            }
        }
        let of = |call: &Vec<Fetch>| call.iter().map(|fetch| fetch.msg).collect::<Vec<_>>();
        assert_eq!(calls.iter().map(of).collect::<Vec<_>>(), [vec![0, 2, 5, 7, 8, 1], vec![3, 6], vec![4]]);
        assert_eq!(calls[0][0].deadline, Micros(5_400_000));
        // If no message is due sooner, the call has the longest timeout.
        let calls = split_by_deadline(now, vec![fetch(0, 6_000, 90_000), fetch(1, 5_500, 80_000)]);
        assert_eq!((calls.len(), calls[0][1].deadline), (1, Micros(6_000_000)));
    }
}
