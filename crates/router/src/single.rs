//! Requests to a single server of a service, with retries and hedges at other servers of it.

use std::pin::pin;
use std::time::Duration;

use futures_util::stream::StreamExt;
use http::{HeaderMap, Response};
use http_body_util::Full;
use streamfold_model::{ServiceName, WeightedService};
use streamfold_policy::late_timer::TimerWatch;
use streamfold_policy::retry_after::RefusalReason;
use streamfold_policy::split_rule::{SplitSelector, choose_part};

use crate::answer::{CallerAnswer, RefusalKind};
use crate::attempt_context::{AttemptContext, CallEvent, PendingCalls};
use crate::attempts::ServiceAttempts;
use crate::call::{EndedCall, ServerReply};
use crate::request::drop_hop_headers;
use crate::router::RouterPhase;

/// Picks a service by the weights of a traffic split. The request stays with that service: if it has no free capacity,
/// the request is refused rather than moved, since the other services would otherwise get more than their share.
pub fn choose_service<'a>(parts: &'a [WeightedService], selector: Option<&SplitSelector>) -> Option<&'a ServiceName> {
    if parts.len() < 2 {
        return parts.first().map(|part| &part.service);
    }
    let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
    let chosen = selector.map_or_else(|| choose_part(&weights, rand::random()), |selector| selector.select(&weights));
    chosen.map(|position| &parts[position].service)
}

/// A request to one service in progress.
struct SingleRound<'a> {
    context: &'a AttemptContext,
    attempts: ServiceAttempts,
    calls: PendingCalls,
    /// An error answer from a server, forwarded if no other server gives a better one.
    failure: Option<ServerReply>,
}

/// Sends a request to one server of a service, and to further ones where retries and hedges are allowed.
///
/// # Errors
/// No server answered.
pub async fn run(context: &AttemptContext, service: &ServiceName) -> Result<CallerAnswer, RefusalKind> {
    let attempts = ServiceAttempts::new(service.clone());
    if context.best_server(&attempts).is_none() {
        tracing::info!(
            event = "service_unreachable",
            request = context.request.id_text(),
            service = %service,
            barred = context.list_exclusions(service)
        );
        return Err(RefusalKind::not_run(RefusalReason::NoServer));
    }
    let mut round = SingleRound { context, attempts, calls: PendingCalls::new(), failure: None };
    round.context.start_first(0, &mut round.attempts, &round.calls);
    let answer = round.wait().await;
    match answer.or(round.failure.take()) {
        Some(reply) => Ok(forward_reply(reply)),
        None => Err(round.refusal()),
    }
}

impl SingleRound<'_> {
    async fn wait(&mut self) -> Option<ServerReply> {
        let clock = self.context.router.clock;
        let deadline = self.context.request.deadline;
        let mut watch = TimerWatch::default();
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        let mut ended = pin!(self.context.router.wait_phase(RouterPhase::Ended));
        while self.attempts.is_open() {
            if clock.now() >= deadline {
                return None;
            }
            let timer_at = self.attempts.next_timer().map(|timer_at| watch.wake_at(timer_at));
            let wake = timer_at.map_or(deadline, |timer_at| timer_at.min(deadline));
            timer.as_mut().reset(clock.instant(wake));
            tokio::select! {
                biased;
                Some((_, event)) = self.calls.next() => {
                    if let Some(reply) = self.handle_call_event(event) {
                        return Some(reply);
                    }
                }
                () = &mut ended => return None,
                () = &mut timer => {
                    let now = clock.now();
                    if now < deadline && watch.is_due(now, wake) {
                        self.context.handle_timers(0, &mut self.attempts, &self.calls, None);
                    }
                }
            }
        }
        None
    }

    fn handle_call_event(&mut self, event: CallEvent) -> Option<ServerReply> {
        match event {
            CallEvent::Ended(took, ended) => self.handle_call_end(took, ended),
            CallEvent::Dequeued(entry) => {
                self.context.resume(0, &mut self.attempts, &self.calls, entry);
                None
            }
        }
    }

    /// Handles the end of a call; returns its reply if that is to be forwarded to the caller.
    fn handle_call_end(&mut self, took: Duration, ended: EndedCall) -> Option<ServerReply> {
        self.context.note_ended(&ended);
        match ended.result {
            Ok(reply) if !reply.status.is_server_error() && (reply.proof.is_some() || !reply.status.is_success()) => {
                self.context.times.add(ended.server.distance, took);
                return Some(reply);
            }
            Ok(reply) => {
                self.attempts.note_failure(ended.server, None);
                if !reply.status.is_success() {
                    self.failure = Some(reply);
                }
            }
            Err(failure) => self.attempts.note_failure(ended.server, Some(failure)),
        }
        if !self.attempts.is_open() {
            self.context.retry(0, &mut self.attempts, &self.calls);
        }
        None
    }

    fn refusal(&self) -> RefusalKind {
        let has_run = self.attempts.may_run();
        match has_run {
            false => RefusalKind::not_run(self.context.not_run_reason()),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}

/// Converts a server's reply into the answer to the caller, without its hop-by-hop headers.
fn forward_reply(reply: ServerReply) -> CallerAnswer {
    let mut headers: HeaderMap = reply.headers;
    drop_hop_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = headers;
    answer
}
