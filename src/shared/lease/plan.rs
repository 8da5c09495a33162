//! Computes how many units each courier should have and who lends them. Each courier does this alone, from what all have
//! published; if two couriers see different rows, shares fit demand less well, but their sum stays within the limit.

use super::{Demand, LeaseSettings, Member, RESERVE_DIVISOR};
use std::collections::BTreeMap;

/// What is known of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The member.
    pub member: Member,
    /// Units that it would use.
    pub demand: u32,
    /// Weight of its demand relative to others', at least 1.
    pub weight: u8,
    /// Units that it owns.
    pub owned: u32,
    /// Units in force there.
    pub in_force: u32,
    /// Units that it has lent.
    pub lent: u32,
}

impl Row {
    pub(super) fn of(member: Member, demand: &Demand) -> Row {
        let Demand { units, weight, owned, in_force, lent, .. } = *demand;
        Row { member, demand: units, weight, owned, in_force, lent }
    }
}

/// The units that each row should have, in the order of the rows. If the sum of demands fits, that is the demand plus a
/// fifth, scaled down to what all own; otherwise the lesser of the demand and a common level times the weight, where the
/// level is the greatest that fits into what all own.
pub fn targets(rows: &[Row]) -> Vec<u32> {
    let total: u64 = rows.iter().map(|r| u64::from(r.owned)).sum();
    let demand: u64 = rows.iter().map(|r| u64::from(r.demand)).sum();
    if demand == 0 {
        return vec![0; rows.len()];
    }
    if demand <= total {
        let with_headroom = total.min(demand + demand / 5);
        return rows.iter().map(|r| (u64::from(r.demand) * with_headroom / demand) as u32).collect();
    }
    let at = |level: u64, r: &Row| u64::from(r.demand).min(level * u64::from(r.weight.max(1)));
    let (mut low, mut high) = (0u64, rows.iter().map(|r| u64::from(r.demand)).max().unwrap_or(0));
    while low < high {
        let level = (low + high).div_ceil(2);
        match rows.iter().map(|r| at(level, r)).sum::<u64>() <= total {
            true => low = level,
            false => high = level - 1,
        }
    }
    rows.iter().map(|r| at(low, r) as u32).collect()
}

/// The loans of `me` that should change, as (holder, new units). `rows` are sorted by member.
pub(super) fn loan_changes(
    me: Member, rows: &[Row], loans: &BTreeMap<Member, u32>, settings: &LeaseSettings,
) -> Vec<(Member, u32)> {
    let targets = targets(rows);
    let band = settings.dead_band();
    let Some(mine) = rows.iter().position(|r| r.member == me) else { return vec![] };
    let mut next = loans.clone();
    // A member that holds more than its target by more than the dead band gives back to its lenders in proportion.
    for (row, target) in rows.iter().zip(&targets).filter(|(r, _)| r.member != me) {
        let Some(loan) = next.get_mut(&row.member) else { continue };
        let borrowed = row.in_force.saturating_sub(row.owned.saturating_sub(row.lent));
        let excess = row.in_force.saturating_sub(target.saturating_add(2 * band)).min(borrowed);
        if excess > 0 {
            *loan -= (u64::from(*loan) * u64::from(excess) / u64::from(borrowed)) as u32;
        }
    }
    // What this courier lacks itself is taken back before anything is lent. Units that were already taken back, but still
    // count as lent, will return without another change.
    let returning = rows[mine].lent.saturating_sub(next.values().sum());
    let mut lack = targets[mine].saturating_sub(rows[mine].in_force.saturating_add(returning));
    if lack > band {
        let mut largest_first: Vec<(u32, Member)> = next.iter().map(|(m, units)| (*units, *m)).collect();
        largest_first.sort_unstable_by(|a, b| b.cmp(a));
        for (units, member) in largest_first {
            let taken_back = units.min(lack);
            lack -= taken_back;
            next.insert(member, units - taken_back);
        }
    } else {
        lend(mine, rows, &targets, band, settings, &mut next);
    }
    next.retain(|member, units| loans.get(member) != Some(units));
    next.into_iter().collect()
}

/// Lays the spare units of all members and the missing units of all members along two lines in the same order. This courier
/// lends to the members whose missing units lie opposite its own spare units.
fn lend(
    mine: usize, rows: &[Row], targets: &[u32], band: u32, settings: &LeaseSettings,
    next: &mut BTreeMap<Member, u32>,
) {
    let reserve = settings.safe_share().div_ceil(RESERVE_DIVISOR);
    let spare = |i: usize| {
        let (row, unlent) = (&rows[i], rows[i].owned.saturating_sub(rows[i].lent));
        // What is in force above the target, but no more than the member owns and may lend.
        let spare = row.in_force.min(unlent).saturating_sub(targets[i].max(reserve));
        if spare > band {
            spare
        } else {
            0
        }
    };
    let lack = |i: usize| {
        let lack = targets[i].saturating_sub(rows[i].in_force);
        if lack > band {
            lack
        } else {
            0
        }
    };
    let (total_spare, total_lack) = (0..rows.len()).fold((0u64, 0u64), |(spare_sum, lack_sum), i| {
        (spare_sum + u64::from(spare(i)), lack_sum + u64::from(lack(i)))
    });
    if total_spare == 0 || total_lack == 0 || spare(mine) == 0 {
        return;
    }
    // If more is spare than missing, each lender gives in proportion; otherwise the first members would lend all they have.
    let scaled = |units: u64| units * total_lack.min(total_spare) / total_spare;
    let before: u64 = (0..mine).map(|i| u64::from(spare(i))).sum();
    let (from, to) = (scaled(before), scaled(before + u64::from(spare(mine))));
    let mut at = 0u64;
    for (i, row) in rows.iter().enumerate() {
        let end = at + u64::from(lack(i));
        let part = end.min(to).saturating_sub(at.max(from)) as u32;
        if part > 0 && i != mine {
            *next.entry(row.member).or_default() += part;
        }
        at = end;
    }
}
