//! Tokens set aside for one request, settled whatever happens to it.

use std::rc::Rc;

use cypressfork_core::budget::Reservation;
use cypressfork_core::unit::Tokens;

use crate::taken::Source;
use crate::token_store::TokenStore;

/// A reservation that settles itself: what was last charged is spent, the rest goes back.
pub struct Hold {
    token_store: Rc<TokenStore>,
    budget: String,
    reservation: Option<(Source, Reservation)>,
    used: Tokens,
}

impl Hold {
    /// Holds a reservation of which nothing is spent yet.
    pub fn new(token_store: Rc<TokenStore>, budget: String, r: (Source, Reservation)) -> Hold {
        Hold { token_store, budget, reservation: Some(r), used: 0 }
    }

    /// Sets what the request has spent so far.
    pub fn charge(&mut self, used: Tokens) {
        self.used = used;
    }

    /// The token store that the tokens come from.
    pub fn token_store(&self) -> &Rc<TokenStore> {
        &self.token_store
    }

    /// The budget.
    pub fn budget(&self) -> &str {
        &self.budget
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some((from, r)) = self.reservation.take() {
            self.token_store.settle(from, &self.budget, r, self.used);
        }
    }
}
