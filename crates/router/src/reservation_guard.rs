//! The token reservation of one request, settled when it is dropped.

use std::rc::Rc;

use cypressfork_core::budget::Reservation;
use cypressfork_core::unit::Tokens;

use crate::reservation_result::Grantor;
use crate::token_store::TokenStore;

/// A reservation that settles itself when dropped: the last charged amount is spent, the rest is
/// released.
pub struct ReservationGuard {
    token_store: Rc<TokenStore>,
    budget: String,
    reservation: Option<(Grantor, Reservation)>,
    used: Tokens,
}

impl ReservationGuard {
    /// Wraps a reservation of which nothing is spent yet.
    pub fn new(
        token_store: Rc<TokenStore>,
        budget: String,
        r: (Grantor, Reservation),
    ) -> ReservationGuard {
        ReservationGuard { token_store, budget, reservation: Some(r), used: 0 }
    }

    /// Sets the number of tokens that the request has spent so far.
    pub fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }

    /// Returns the token store that made the reservation.
    pub fn token_store(&self) -> &Rc<TokenStore> {
        &self.token_store
    }

    /// Returns the name of the budget.
    pub fn budget(&self) -> &str {
        &self.budget
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some((grantor, r)) = self.reservation.take() {
            self.token_store.settle(grantor, &self.budget, r, self.used);
        }
    }
}
