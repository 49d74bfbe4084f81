//! Authentication: finds the team of a request by the caller's API key.

use std::sync::Arc;

use streamfold_model::{RouteSpec, TeamDirectory, TeamSpec};
use streamfold_policy::retry_after::RefusalReason;

use crate::answer::RefusalKind;
use crate::interface::{FeedTopic, PresentedKey};
use crate::router::Router;

/// Finds the team of a request by its API key. `None` if the route is exempt from authentication and the key
/// identifies no team.
///
/// # Errors
/// The key belongs to no team, or this cannot be decided because the known keys may be out of date.
pub(crate) fn find_team(
    router: &Router,
    teams: &TeamDirectory,
    route: &RouteSpec,
    presented: PresentedKey,
) -> Result<Option<Arc<TeamSpec>>, RefusalKind> {
    let unknown = || RefusalKind::not_run(RefusalReason::RoutesUnknown { uptime: router.uptime() });
    let unfollowed = router.unfollowed_for(FeedTopic::Routes);
    let strict = router.settings.keys.filter(|keys| keys.strict == Some(true));
    let are_keys_stale = strict.is_some_and(|keys| unfollowed > keys.within.0);
    let team = match presented {
        PresentedKey::Key(key) => teams.find(&key),
        PresentedKey::None | PresentedKey::Malformed => None,
    };
    match team.filter(|_| !are_keys_stale) {
        Some(team) => Ok(Some(team.clone())),
        None if route.is_auth_exempt => Ok(None),
        // The key may have been revoked meanwhile.
        None if team.is_some() => Err(unknown()),
        // The key may have been issued meanwhile.
        None if matches!(presented, PresentedKey::Key(_)) && (!unfollowed.is_zero() || router.is_behind()) => {
            Err(unknown())
        }
        None => Err(RefusalKind::NoKey),
    }
}
