//! Log events of this slice: 3100 to 3199.

use crate::base::event::events;

events! {
    CONFIG_IN_FORCE = 3100, "A newer configuration is in force. Fields: version, routes, services, source.";
    CONFIG_REFUSED = 3101, "A configuration was not taken. Fields: version, held, source, reason.";
    STORE_LOST = 3102, "Calls to the store fail. Fields: what, error.";
    STORE_BACK = 3103, "Calls to the store succeed again. Fields: what, away_ms.";
    UPSTREAM_ADDED = 3104, "An upstream is known and may take work. Fields: upstream, service, zone, address, revision.";
    UPSTREAM_LEAVING = 3105, "An upstream takes no new work from now on. Fields: upstream, reason, revision.";
    UPSTREAM_LAPSED = 3106, "An upstream's entry is missing after trouble with the store; it stays in use until the wait is over. Fields: upstream, revision.";
    ENTRY_IGNORED = 3107, "An upstream's entry cannot be read and names nothing to use. Fields: upstream, revision, error.";
}
