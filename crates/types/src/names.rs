//! Names that are kept once, however many values contain them.

use crate::Name;
use std::collections::HashSet;

/// The known names. Equal names that are read from different messages share their memory after [`Names::share`].
#[derive(Clone, Debug, Default)]
pub struct Names {
    known: HashSet<Name>,
}

/// Maximum number of names. When more are read, sharing begins anew; values that were read before keep theirs.
const MAX_NAMES: usize = 16_384;

impl Names {
    /// Replaces `name` by an equal name that was read before, if there is one.
    pub fn share(&mut self, name: &mut Name) {
        if let Some(known) = self.known.get(name) {
            name.clone_from(known);
            return;
        }
        if self.known.len() >= MAX_NAMES {
            self.known.clear();
        }
        self.known.insert(name.clone());
    }
}
