//! Log events of this slice: 3100 to 3199.

use crate::base::event::events;

events! {
    CONFIG_IN_FORCE = 3100, "A newer configuration has come into force. Fields: version, routes, services, source.";
    CONFIG_REFUSED = 3101, "A configuration was rejected. Fields: version, held, source, reason.";
    STORE_LOST = 3102, "Calls to the store have begun to fail. Fields: what, error.";
    STORE_BACK = 3103, "Calls to the store succeed again; `away` tells whether the failures proved that it was away. Fields: what, failing_ms, away.";
    UPSTREAM_ADDED = 3104, "An upstream is listed as ready and may receive requests. Fields: upstream, service, zone, address, revision.";
    UPSTREAM_LEAVING = 3105, "An upstream receives no new requests. Fields: upstream, reason, revision.";
    UPSTREAM_LAPSED = 3106, "An upstream's record is missing during or after a store outage; the upstream stays in use until the grace period ends. Fields: upstream, revision.";
    ENTRY_IGNORED = 3107, "An upstream's record in the store could not be parsed and is ignored. Fields: upstream, revision, error.";
    HISTORY_GONE = 3112, "The store no longer has the history after the revision from which a watch was to go on; a full read follows. Fields: what, after, era.";
    STORE_READ = 3113, "A full read of the store; revision and era are the store's. Fields: what, revision, era, items.";
    EVACUATION_READ = 3109, "The operator evacuates an availability zone; revision is that of the store as of which this is known. Fields: zone, revision, source.";
    EVACUATION_GONE = 3110, "The operator no longer evacuates an availability zone. Fields: zone, revision, source.";
    EVACUATION_IGNORED = 3111, "The key of an evacuation names no valid availability zone and is ignored; only the first 64 bytes are logged. Fields: zone, revision, reason.";
    ROLE_CHANGED = 3108, "The part that the process takes in reading the store changed: independent, reader or relying. Fields: role.";
}
