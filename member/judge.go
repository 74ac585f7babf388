package member

import (
	"slices"
	"time"
)

func (t *Table) judgeAll(now time.Time) {
	for _, e := range t.entries {
		t.judge(now, e)
	}
}

// judge sets the verdict of one host from what is known.
func (t *Table) judge(now time.Time, e *entry) {
	verdict, reason := t.weigh(now, e)
	e.deaths = slices.DeleteFunc(e.deaths, func(at time.Time) bool { return now.Sub(at) > t.opts.FlapMemory })
	if verdict == Dead && e.verdict != Dead {
		e.deaths = append(e.deaths, now)
	}
	if e.verdict == Dead && verdict == Alive {
		verdict, reason = t.hold(now, e)
	}
	if verdict == Dead && reason != ReasonFlapping {
		e.heldUntil = time.Time{}
	}
	if verdict != e.verdict {
		e.since = now
	}
	e.verdict, e.reason = verdict, reason
}

// hold keeps a host that came back out for a while: longer with each death.
func (t *Table) hold(now time.Time, e *entry) (Verdict, string) {
	if e.heldUntil.IsZero() {
		e.heldUntil = now.Add(t.holdTime(len(e.deaths)))
	}
	if now.Before(e.heldUntil) {
		return Dead, ReasonFlapping
	}
	e.heldUntil = time.Time{}
	return Alive, ReasonAnswers
}

func (t *Table) holdTime(deaths int) time.Duration {
	hold := t.opts.FlapHold
	for range max(deaths-1, 0) {
		hold = min(2*hold, t.opts.FlapHoldMax)
	}
	return hold
}

func (t *Table) weigh(now time.Time, e *entry) (Verdict, string) {
	answers := e.watched && e.misses == 0 && !e.answered.IsZero()
	dead := !answers && t.deadByReports(now, e)
	switch {
	case e.host.Leaving && dead:
		return Dead, ReasonLeavingSilent
	case e.host.Leaving && answers:
		return Leaving, ReasonLeavingAlive
	case e.host.Leaving:
		return Leaving, ReasonLeaving
	case dead:
		return Dead, ReasonDead
	}
	if out := t.outReason(now, e); out != "" {
		return Out, out
	}
	switch {
	case e.misses > 0 && e.elsewhere:
		return Alive, ReasonOneDirection
	case e.misses >= t.opts.SuspectMisses:
		return Suspect, ReasonMissed
	case answers:
		return Alive, ReasonAnswers
	}
	return Alive, ReasonListed
}

// deadByReports reports whether most of a host's watchers found it dead. The
// votes of watchers that are themselves dead do not count, nor are they
// waited for.
func (t *Table) deadByReports(now time.Time, e *entry) bool {
	votes, voters := 0, 0
	for _, by := range e.watchers {
		if t.silentVoter(by) {
			continue
		}
		voters++
		if t.votesDead(now, by, e) {
			votes++
		}
	}
	return votes > 0 && 2*votes > voters
}

func (t *Table) silentVoter(by string) bool {
	if by == t.self {
		return false
	}
	w, ok := t.entries[by]
	return ok && w.verdict == Dead && w.reason != ReasonFlapping
}

func (t *Table) votesDead(now time.Time, by string, e *entry) bool {
	if by == t.self {
		return e.confirmed
	}
	h, ok := t.reports[by]
	return ok && now.Sub(h.at) <= t.opts.ReportLifetime && slices.Contains(h.report.Dead, e.host.ID)
}

func (t *Table) outReason(now time.Time, e *entry) string {
	h, ok := t.reports[e.host.ID]
	if !ok || now.Sub(h.at) > t.opts.ReportLifetime {
		return ""
	}
	return h.report.Out
}
