//! Between accounts and messages: what goes into a round and what comes of it.

use std::collections::{BTreeMap, BTreeSet};

use super::tally::Slot;
use super::{Open, ROTATION, Scope};
use crate::account::{Book, SCALE};
use crate::key::Key;
use crate::message::{Charge, Ledger};
use crate::table::Table;

/// Whether an account that does not wait is told in a round of this number.
pub fn rotates(table: &Table, slot: Slot, number: u64) -> bool {
    let key = table.customers[slot.1.row()].key;
    u64::from(key.number()) % ROTATION == number % ROTATION
}

/// Moves what was charged here into an open round.
pub fn take(book: &mut Book, table: &Table, open: &mut Open) {
    let number = open.round.number;
    for (pool, customer, account) in book.all_mut() {
        let slot = (pool, customer);
        // Short waits happen to everybody; only who waits long is behind.
        let waits = account.overdue;
        if waits {
            *open.waiting.entry(slot).or_default() += 1;
        }
        let due = waits || account.waiting > 0 || rotates(table, slot, number);
        if due && account.unsent != 0 {
            account.sent += account.unsent;
            *open.amounts.entry(slot).or_default() += account.unsent;
            account.unsent = 0;
        }
    }
}

/// Adds a child's charges to an open round.
pub fn add(table: &Table, open: &mut Open, charges: &[Ledger]) {
    for (slot, charge) in slots(table, charges) {
        *open.amounts.entry(slot).or_default() += charge.units;
        if charge.waiting > 0 {
            *open.waiting.entry(slot).or_default() += charge.waiting;
        }
    }
}

/// Settles what was sent: it is in the totals, or goes again.
pub fn settle(book: &mut Book, counted: bool) {
    for (_, _, account) in book.all_mut() {
        if account.sent == 0 {
            continue;
        }
        if counted {
            account.fleet += account.sent;
        } else {
            account.unsent += account.sent;
        }
        account.sent = 0;
    }
}

/// Drops what was sent, when its sum has been added to the totals here.
pub fn settle_silently(book: &mut Book) {
    for (_, _, account) in book.all_mut() {
        account.sent = 0;
    }
}

/// Takes the totals of a round.
pub fn apply(scope: &mut Scope<'_>, totals: &[Ledger]) {
    scope.book.clear_waiting();
    scope.book.age_provisional();
    for (slot, charge) in slots(scope.table, totals) {
        scope.book.get_mut(slot.0, slot.1).fleet = charge.units;
        scope.book.set_waiting(slot.0, slot.1, charge.waiting);
    }
}

/// The totals to tell in a round: waiting accounts, others in rotation.
pub fn totals(scope: &Scope<'_>, number: u64) -> Vec<Ledger> {
    let mut amounts = BTreeMap::new();
    let mut waiting = BTreeMap::new();
    for (pool, customer, account) in scope.book.all() {
        let slot = (pool, customer);
        if account.waiting > 0 {
            waiting.insert(slot, account.waiting);
        }
        let moved = account.fleet != 0;
        if account.waiting > 0 || (moved && rotates(scope.table, slot, number)) {
            amounts.insert(slot, account.fleet);
        }
    }
    ledgers(scope.table, &amounts, &waiting)
}

/// All totals told so far.
pub fn inherit(book: &Book) -> BTreeMap<Slot, i64> {
    book.all()
        .filter(|(_, _, account)| account.fleet != 0)
        .map(|(pool, customer, account)| ((pool, customer), account.fleet))
        .collect()
}

/// Amounts as messages, by pool; waiting accounts are named even without amount.
pub fn ledgers(
    table: &Table,
    amounts: &BTreeMap<Slot, i64>,
    waiting: &BTreeMap<Slot, u32>,
) -> Vec<Ledger> {
    let mut ledgers: Vec<Ledger> = Vec::new();
    let named: BTreeSet<Slot> = amounts.keys().chain(waiting.keys()).copied().collect();
    for slot in named {
        let pool = table.pool_key(slot.0);
        let charge = Charge {
            customer: table.customers[slot.1.row()].key,
            units: amounts.get(&slot).copied().unwrap_or(0),
            waiting: waiting.get(&slot).copied().unwrap_or(0),
        };
        match ledgers.last_mut().filter(|ledger| ledger.pool == pool) {
            Some(ledger) => ledger.charges.push(charge),
            None => ledgers.push(Ledger {
                pool,
                charges: vec![charge],
            }),
        }
    }
    ledgers
}

/// Charges of messages with the accounts they name here; unknown names are passed over.
pub fn slots<'a>(
    table: &'a Table,
    ledgers: &'a [Ledger],
) -> impl Iterator<Item = (Slot, &'a Charge)> {
    ledgers.iter().flat_map(move |ledger| {
        let pool = table.pool_by_key(ledger.pool);
        ledger.charges.iter().filter_map(move |charge| {
            let customer = customer(table, charge.customer)?;
            Some(((pool?, customer), charge))
        })
    })
}

fn customer(table: &Table, key: Key) -> Option<crate::id::Customer> {
    table.customer_by_key(key)
}

/// What the leading root adds to accounts, in units: see the head of [`super`].
pub fn lifts(
    scope: &Scope<'_>,
    waiting: &BTreeMap<Slot, u32>,
    before: &BTreeMap<Slot, u64>,
) -> Vec<(Slot, i64)> {
    let mut lifts = Vec::new();
    let owed = i64::try_from(scope.settings.max_lag_units)
        .unwrap_or(i64::MAX)
        .saturating_mul(SCALE);
    let time = |slot: &Slot| scope.book.virtual_time(slot.0, slot.1);
    for slot in waiting.keys() {
        let peers = waiting.keys().filter(|other| other.0 == slot.0);
        let most = peers.clone().map(time).max().unwrap_or(i64::MIN);
        let mut floor = most.saturating_sub(owed);
        if !before.contains_key(slot) {
            let stayed = peers
                .filter(|other| before.contains_key(other))
                .map(time)
                .min();
            floor = floor.max(stayed.unwrap_or(i64::MIN));
        }
        let short = floor.saturating_sub(time(slot));
        if short > 0 {
            let share = i64::try_from(scope.table.share(slot.1)).unwrap_or(i64::MAX);
            lifts.push((*slot, short.saturating_mul(share) / SCALE));
        }
    }
    lifts
}
