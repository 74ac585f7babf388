package member

import (
	"slices"
	"time"
)

func (t *Table) evaluateAll(now time.Time) {
	for _, e := range t.entries {
		t.evaluate(now, e)
	}
}

// evaluate sets the verdict of one host from its heartbeats, the list and the
// reports of other hosts.
func (t *Table) evaluate(now time.Time, e *entry) {
	verdict, reason := t.verdictOf(now, e)
	e.deaths = slices.DeleteFunc(e.deaths, func(at time.Time) bool { return now.Sub(at) > t.opts.FlapWindow })
	if verdict == Dead && e.verdict != Dead {
		e.deaths = append(e.deaths, now)
	}
	if e.verdict == Dead && verdict == Alive {
		verdict, reason = t.dampFlapping(now, e)
	}
	if verdict == Dead && reason != ReasonFlapping {
		e.dampedUntil = time.Time{}
	}
	if verdict != e.verdict {
		e.since = now
	}
	e.verdict, e.reason = verdict, reason
}

// dampFlapping delays the change from Dead to Alive of a host that responds again. The
// delay grows with each death.
func (t *Table) dampFlapping(now time.Time, e *entry) (Verdict, string) {
	if e.dampedUntil.IsZero() {
		e.dampedUntil = now.Add(t.flapDelay(len(e.deaths)))
	}
	if now.Before(e.dampedUntil) {
		return Dead, ReasonFlapping
	}
	e.dampedUntil = time.Time{}
	return Alive, ReasonResponsive
}

func (t *Table) flapDelay(deaths int) time.Duration {
	delay := t.opts.FlapDelay
	for range max(deaths-1, 0) {
		delay = min(2*delay, t.opts.MaxFlapDelay)
	}
	return delay
}

func (t *Table) verdictOf(now time.Time, e *entry) (Verdict, string) {
	responds := e.watched && e.misses == 0 && !e.answeredAt.IsZero()
	dead := !responds && t.deadByMajority(now, e)
	switch {
	case e.host.Leaving && dead:
		return Dead, ReasonLeavingUnresponsive
	case e.host.Leaving && responds:
		return Leaving, ReasonLeavingResponsive
	case e.host.Leaving:
		return Leaving, ReasonLeaving
	case dead:
		return Dead, ReasonDead
	}
	if reason := t.outOfServiceReason(now, e); reason != "" {
		return OutOfService, reason
	}
	switch {
	case e.misses > 0 && e.answeredOthers:
		return Alive, ReasonOneDirection
	case e.misses >= t.opts.SuspectMisses:
		return Suspect, ReasonMissedHeartbeats
	case responds:
		return Alive, ReasonResponsive
	}
	return Alive, ReasonListed
}

// deadByMajority reports whether more than half of a host's watchers report it
// dead. Watchers that are dead themselves are not counted.
func (t *Table) deadByMajority(now time.Time, e *entry) bool {
	votes, voters := 0, 0
	for _, watcher := range e.watchers {
		if t.deadVoter(watcher) {
			continue
		}
		voters++
		if t.votesDead(now, watcher, e) {
			votes++
		}
	}
	return votes > 0 && 2*votes > voters
}

// deadVoter reports whether a watcher is dead itself. A watcher that is dead only for
// flapping responds, so its vote counts.
func (t *Table) deadVoter(watcher string) bool {
	if watcher == t.self {
		return false
	}
	e, ok := t.entries[watcher]
	return ok && e.verdict == Dead && e.reason != ReasonFlapping
}

func (t *Table) votesDead(now time.Time, watcher string, e *entry) bool {
	if watcher == t.self {
		return e.confirmed
	}
	r, ok := t.reports[watcher]
	return ok && now.Sub(r.at) <= t.opts.ReportTTL && slices.Contains(r.report.Dead, e.host.ID)
}

func (t *Table) outOfServiceReason(now time.Time, e *entry) string {
	r, ok := t.reports[e.host.ID]
	if !ok || now.Sub(r.at) > t.opts.ReportTTL {
		return ""
	}
	return r.report.OutReason
}
