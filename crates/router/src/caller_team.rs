//! Whose request it is, by the key that its caller shows.

use std::sync::Arc;

use streamfold_model::{RouteSpec, TeamDirectory, TeamSpec};
use streamfold_policy::retry_after::RefusalReason;

use crate::answer::RefusalKind;
use crate::interface::{FeedTopic, PresentedKey};
use crate::router::Router;

/// The team of a request by the key that its caller shows; `None` where it needs none and shows none.
///
/// # Errors
/// The key is none of any team, or nobody can say while the store is away.
pub(crate) fn find_team(
    router: &Router,
    teams: &TeamDirectory,
    route: &RouteSpec,
    shown: PresentedKey,
) -> Result<Option<Arc<TeamSpec>>, RefusalKind> {
    let unknown = || RefusalKind::not_run(RefusalReason::RoutesUnknown { uptime: router.uptime() });
    let unfollowed = router.unfollowed_for(FeedTopic::Routes);
    let strict = router.settings.keys.filter(|keys| keys.strict == Some(true));
    let are_keys_lost = strict.is_some_and(|keys| unfollowed > keys.within.0);
    let team = match shown {
        PresentedKey::Key(key) => teams.find(&key),
        PresentedKey::None | PresentedKey::Malformed => None,
    };
    match team.filter(|_| !are_keys_lost) {
        Some(team) => Ok(Some(team.clone())),
        None if route.is_auth_exempt => Ok(None),
        // It may have been taken away by now.
        None if team.is_some() => Err(unknown()),
        // It may have been handed out by now.
        None if matches!(shown, PresentedKey::Key(_)) && (!unfollowed.is_zero() || router.is_behind()) => {
            Err(unknown())
        }
        None => Err(RefusalKind::NoKey),
    }
}
