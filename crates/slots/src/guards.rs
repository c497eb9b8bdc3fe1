//! Guards of an owner, for the model check.

/// Guards of an [`Owner`](crate::Owner); each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A repeated request for a slot gets the same grant again.
    pub same_grant: bool,
    /// The end of a grant that is not open frees nothing.
    pub known_release: bool,
    /// A request that arrives after the end of its grant is ignored.
    pub ended_numbers: bool,
    /// A grant whose end is not reported ends after its hold time.
    pub expiry: bool,
    /// A host is told again of a grant that is open for long, and releases one that it does not hold.
    pub reminders: bool,
    /// The grants of a host that is gone end.
    pub gone_hosts: bool,
    /// A new owner counts the requests that load reports tell of.
    pub inherited: bool,
}

impl Guards {
    /// All guards.
    pub const ON: Self = Self {
        same_grant: true,
        known_release: true,
        ended_numbers: true,
        expiry: true,
        reminders: true,
        gone_hosts: true,
        inherited: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ON
    }
}
