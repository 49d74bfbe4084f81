//! A request to one server of a service.

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
use crate::attempt_context::{AttemptContext, CallNews, PendingCalls};
use crate::attempts::ServiceAttempts;
use crate::call::{EndedCall, ServerReply};
use crate::request::drop_hop_headers;

/// The service whose turn it is by the weights. A request stays with it: one that it has no room
/// for is refused and not moved, or the others would get more than their share.
pub fn choose_service<'a>(parts: &'a [WeightedService], turns: Option<&SplitSelector>) -> Option<&'a ServiceName> {
    if parts.len() < 2 {
        return parts.first().map(|part| &part.service);
    }
    let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
    let chosen = turns.map_or_else(|| choose_part(&weights, rand::random()), |turns| turns.select(&weights));
    chosen.map(|position| &parts[position].service)
}

/// A request to one service under way.
struct SingleRound<'a> {
    context: &'a AttemptContext,
    attempts: ServiceAttempts,
    calls: PendingCalls,
    /// A server's own failure, passed on if no other server does better.
    failure: Option<ServerReply>,
}

/// Sends a request to one server of a service, and to others where that is allowed.
///
/// # Errors
/// No server gave an answer.
pub async fn run(context: &AttemptContext, service: &ServiceName) -> Result<CallerAnswer, RefusalKind> {
    let attempts = ServiceAttempts::new(service.clone());
    if context.best_server(&attempts).is_none() {
        tracing::info!(
            event = "service_unreachable",
            request = context.request.id_text(),
            service = %service,
            barred = context.name_bars(service)
        );
        return Err(RefusalKind::not_run(RefusalReason::NoServer));
    }
    let mut round = SingleRound { context, attempts, calls: PendingCalls::new(), failure: None };
    round.context.start_first(0, &mut round.attempts, &round.calls);
    let answer = round.wait().await;
    match answer.or(round.failure.take()) {
        Some(reply) => Ok(pass_on(reply)),
        None => Err(round.refusal()),
    }
}

impl SingleRound<'_> {
    async fn wait(&mut self) -> Option<ServerReply> {
        let clock = self.context.router.clock;
        let deadline = self.context.request.deadline;
        let mut watch = TimerWatch::default();
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        while self.attempts.is_open() {
            if clock.now() >= deadline {
                return None;
            }
            let alarm = self.attempts.next_alarm().map(|alarm| watch.wake_at(alarm));
            let wake = alarm.map_or(deadline, |alarm| alarm.min(deadline));
            timer.as_mut().reset(clock.instant(wake));
            tokio::select! {
                biased;
                Some((_, news)) = self.calls.next() => {
                    if let Some(reply) = self.note_call(news) {
                        return Some(reply);
                    }
                }
                () = &mut timer => {
                    let now = clock.now();
                    if now < deadline && watch.is_due(now, wake) {
                        self.context.note_alarm(0, &mut self.attempts, &self.calls, None);
                    }
                }
            }
        }
        None
    }

    fn note_call(&mut self, news: CallNews) -> Option<ServerReply> {
        match news {
            CallNews::Ended(took, ended) => self.note_end(took, ended),
            CallNews::CalledUp(place) => {
                self.context.resume(0, &mut self.attempts, &self.calls, place);
                None
            }
        }
    }

    /// The answer to pass on, if this is one.
    fn note_end(&mut self, took: Duration, ended: EndedCall) -> Option<ServerReply> {
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
            false => RefusalKind::not_run(RefusalReason::NoServer),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}

/// A server's answer as the caller gets it.
fn pass_on(reply: ServerReply) -> CallerAnswer {
    let mut headers: HeaderMap = reply.headers;
    drop_hop_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = headers;
    answer
}
