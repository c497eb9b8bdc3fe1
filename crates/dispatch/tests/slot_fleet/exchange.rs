//! Events and actions of the hosts, the messages between them, and their load reports.

use super::*;

impl Fleet {
    pub(super) fn event(&mut self, host: usize, event: Event) {
        let now = self.now();
        for action in self.hosts[host].dispatch.handle(now, event) {
            match action {
                Action::Send { id, attempt } => {
                    let upstream = attempt.upstream.id.trim_start_matches("i-").parse();
                    let upstream = upstream.expect("an upstream of the fleet");
                    let at = self.now_ms + LATENCY_MS;
                    self.plan(at, Happening::ToUpstream { upstream, host, id });
                }
                Action::Refuse { id, refusal, .. } => {
                    let retry_ms = refusal.retry_after_ms.unwrap_or(0);
                    let is_not_run = refusal.verdict == vanetally_types::Verdict::NotRun;
                    let end = if is_not_run { End::Refused { retry_ms } } else { End::Failed };
                    self.finish(host, id, end);
                }
                Action::AcquireSlot { id, reservation, request } => {
                    self.acquire(host, (id, reservation), request);
                }
                Action::ReleaseSlot { id, reservation, end } => {
                    let closed = self.hosts[host].client.close(now, (id, reservation));
                    if let Some(closed) = closed {
                        let owner = host_number(&closed.owner);
                        self.release(host, owner, closed.number, closed.upstream, end);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn acquire(&mut self, host: usize, key: (RequestId, u32), request: SlotRequest) {
        let now = self.now();
        let asking = &mut self.hosts[host];
        let owner = asking.owners.pacer_of(now, &request.upstream.id).clone();
        let number = asking.client.request(now, key, &owner, &request);
        self.send(host, host_number(&owner), Message::Acquire { number, request });
    }

    pub(super) fn release(
        &mut self,
        host: usize,
        owner: usize,
        number: u64,
        upstream: Incarnation,
        end: SlotEnd,
    ) {
        if let Fault::ReleasesLost { one_in } = self.scenario.fault
            && self.next_random(one_in) == 0
        {
            return;
        }
        self.send(host, owner, Message::Release { number, upstream, end });
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            return self.receive(from, to, message);
        }
        self.messages += 1;
        if !self.is_cut(from, to) {
            self.plan(self.now_ms + LATENCY_MS, Happening::ToHost { from, to, message });
        }
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now();
        match message {
            Message::Acquire { number, request } => {
                let Host { dispatch, owner, .. } = &mut self.hosts[to];
                let reported = dispatch.running(now, &request.upstream);
                let replies = owner.acquire(now, (&host_name(from), number), &request, reported);
                self.reply(to, replies);
            }
            Message::Release { number, upstream, end } => {
                let owner = &mut self.hosts[to].owner;
                let replies = owner.release(now, (&host_name(from), number), &upstream, end);
                self.reply(to, replies);
            }
            Message::Answer { number, upstream, answer } => {
                let client = &mut self.hosts[to].client;
                match client.answered(now, &host_name(from), number, answer) {
                    Received::Decided((id, reservation), answer) => {
                        let answer = Some(answer);
                        self.event(to, Event::SlotAnswered { id, reservation, answer });
                    }
                    Received::Nothing => {}
                    Received::Unneeded => {
                        self.release(to, from, number, upstream, SlotEnd::Unused);
                    }
                }
            }
        }
    }

    pub(super) fn reply(&mut self, owner: usize, replies: Vec<Reply>) {
        for Reply { host, number, upstream, answer } in replies {
            let message = Message::Answer { number, upstream, answer };
            self.send(owner, host_number(&host), message);
        }
    }

    pub(super) fn tick(&mut self, host: usize) {
        let now = self.now();
        let Host { dispatch, owner, .. } = &mut self.hosts[host];
        let replies = owner.tick(now, |upstream| dispatch.running(now, upstream));
        self.reply(host, replies);
        let overdue = self.hosts[host].client.take_overdue(now);
        for Repeat { owner, number, request } in overdue.repeats {
            self.send(host, host_number(&owner), Message::Acquire { number, request });
        }
        for unanswered in overdue.unanswered {
            self.unanswered += 1;
            self.hosts[host].owners.mark_silent(now, &unanswered.owner);
            let (id, reservation) = unanswered.key;
            let owner = host_number(&unanswered.owner);
            self.release(host, owner, unanswered.number, unanswered.upstream, SlotEnd::Unused);
            self.event(host, Event::SlotAnswered { id, reservation, answer: None });
        }
        self.event(host, Event::Tick);
    }

    /// Gives each host the sum of the loads that the others reported one interval ago.
    pub(super) fn report(&mut self) {
        let now = self.now();
        let mut total: BTreeMap<Incarnation, u32> = BTreeMap::new();
        for host in &self.hosts {
            for row in &host.digest.loads {
                *total.entry(row.upstream.clone()).or_default() += row.running;
            }
        }
        for host in 0..HOSTS {
            if self.is_gone(host) {
                self.hosts[host].digest = Digest::default();
                continue;
            }
            if self.frozen_until(host).is_some() {
                continue;
            }
            let own = std::mem::take(&mut self.hosts[host].digest);
            let running = |id: &Incarnation| {
                own.loads.iter().find(|row| row.upstream == *id).map_or(0, |row| row.running)
            };
            let loads = total.iter().map(|(id, all)| LoadRow {
                upstream: id.clone(),
                running: all - running(id),
                unread_tokens: 0,
                held_tokens: 0,
                good: 0,
                bad: 0,
                limit: None,
            });
            let digest = Digest { loads: loads.collect(), ..Digest::default() };
            self.hosts[host].digest = self.hosts[host].dispatch.digest(now);
            self.event(host, Event::PeerDigest { host: "total".into(), digest });
        }
    }

    /// Returns the requests that arrived at the upstreams, and those that they rejected.
    pub fn arrived_and_rejected(&self) -> (u64, u64) {
        let sum = |count: fn(&Plain) -> u64| self.upstreams.iter().map(count).sum();
        (sum(|plain| plain.arrived), sum(|plain| plain.rejected))
    }

    /// Returns the calls that began in a time.
    pub fn begun(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(move |call| (from_ms..to_ms).contains(&call.began_ms))
    }

    /// Returns how many answers of a time were in time.
    pub fn in_time(&self, from_ms: u64, to_ms: u64) -> usize {
        let ended = |call: &&Call| {
            call.ended.is_some_and(|(at, _)| (from_ms..to_ms).contains(&at)) && call.is_in_time()
        };
        self.calls.iter().filter(ended).count()
    }

    /// Returns a summary for messages of failed tests.
    pub fn summary(&self) -> String {
        let Scenario { burst_from_ms, burst_to_ms, .. } = self.scenario;
        let (arrived, rejected) = self.arrived_and_rejected();
        let seconds = (burst_to_ms - burst_from_ms) / 1_000;
        let possible = CAPACITY * seconds;
        let mut refused: Vec<u64> = self.calls.iter().filter_map(Call::refused_after_ms).collect();
        refused.sort_unstable();
        let quantile =
            |share: f64| refused.get((refused.len() as f64 * share) as usize).copied().unwrap_or(0);
        let routes = ["urgent", "once", "look"].map(|route| {
            let all = || self.begun(burst_from_ms, burst_to_ms).filter(|call| call.route == route);
            let good = all().filter(|call| call.is_in_time()).count();
            format!("{route} {good}/{}", all().count())
        });
        format!(
            "arrived={arrived} rejected={rejected} in_time={} of {possible} refused={} after \
             {}/{}/{} ms routes={routes:?} unanswered={} messages={} calls={} left_grants={}",
            self.in_time(burst_from_ms, burst_to_ms),
            refused.len(),
            quantile(0.5),
            quantile(0.9),
            quantile(0.999),
            self.unanswered,
            self.messages,
            self.calls.len(),
            self.left_grants
        )
    }
}
