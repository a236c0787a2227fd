package replica

import "cairnlane/internal/counters"

// counts are the replica's counters of events. Their names, in newCounts, are what operators see.
type counts struct {
	read      *counters.Counter // attempts accepted from routers
	retries   *counters.Counter // of these, attempts marked as retries
	malformed *counters.Counter // calls that are no valid request

	served          *counters.Counter
	rejectedAnswers *counters.Counter
	failed          *counters.Counter
	reused          *counters.Counter // attempts answered with the outcome of another one
	withLater       *counters.Counter // rejections that say when to come back
	withGiveUp      *counters.Counter // rejections that ask not to try elsewhere
	callersGone     *counters.Counter // attempts whose caller stopped waiting

	// Rejections that follow the fleet's advice.
	overBudget, overShare, lowClass *counters.Counter

	runs             *counters.Counter // runs that the module decided on
	resent           *counters.Counter // RUNs written once more on a new link
	inDoubt          *counters.Counter // runs that may have been lost with a link
	done             *counters.Counter // runs that succeeded
	doneUnserved     *counters.Counter // runs that ended otherwise
	rejectedRuns     *counters.Counter // runs that the engine did not execute
	noticesUnmatched *counters.Counter // notices about no present run

	calls          *counters.Counter // calls made to the index
	callsUnmatched *counters.Counter // ends of calls that no run waits for
	callsInDoubt   *counters.Counter // replies that may have been lost with a link to the engine
}

// newCounts returns the counters of a replica, taken from set.
func newCounts(set *counters.Set) counts {
	return counts{
		read:             set.Get("requests_read"),
		retries:          set.Get("requests_marked_retry"),
		malformed:        set.Get("requests_malformed"),
		served:           set.Get("answers_served"),
		rejectedAnswers:  set.Get("answers_refused"),
		failed:           set.Get("answers_failed"),
		reused:           set.Get("answers_reused"),
		withLater:        set.Get("answers_with_later"),
		withGiveUp:       set.Get("answers_with_giveup"),
		callersGone:      set.Get("callers_gone"),
		overBudget:       set.Get("refused_beyond_tries"),
		overShare:        set.Get("refused_over_share"),
		lowClass:         set.Get("refused_low_class"),
		runs:             set.Get("runs_decided"),
		resent:           set.Get("runs_sent_again"),
		inDoubt:          set.Get("runs_in_doubt"),
		done:             set.Get("runs_done"),
		doneUnserved:     set.Get("runs_done_unserved"),
		rejectedRuns:     set.Get("runs_rejected"),
		noticesUnmatched: set.Get("notices_unmatched"),
		calls:            set.Get("calls_made"),
		callsUnmatched:   set.Get("calls_unmatched"),
		callsInDoubt:     set.Get("calls_in_doubt"),
	}
}
