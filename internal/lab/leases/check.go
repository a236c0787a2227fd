package leases

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cairnlane/internal/fake/resource"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
)

// evaluate checks the history that the fake resource recorded.
func (f *Figures) evaluate(site *rig.Site, res *resource.Resource) {
	effects, now := res.Effects(), res.Now()
	began := time.Now().Add(-now)
	f.check(effects, res.Notes(), now, func(e resource.Effect) bool {
		// The lease cannot prevent an overlap if the process was stopped between the permit's check and the end of its effect.
		for _, b := range site.Boxes {
			if b.Name == e.Box && e.Thing != commandThing {
				end := e.End
				if end == 0 {
					end = now
				}
				return e.Intercepted || b.WasOut(began.Add(e.AnnouncedAt), began.Add(end))
			}
		}
		return false
	})
}

// check counts violations in the histories. The function stopped reports whether the process of an effect was stopped during it.
func (f *Figures) check(effects []resource.Effect, notes []resource.Note, now time.Duration, stopped func(resource.Effect) bool) {
	byThing := map[string][]resource.Effect{}
	for _, e := range effects {
		if e.End == 0 {
			e.End = now
		}
		byThing[e.Thing] = append(byThing[e.Thing], e)
		f.Acts += btoi(e.Begin != 0)
		f.Fenced += btoi(e.Fenced)
		f.StaleTried += btoi(e.Stale)
	}
	f.Linearizable = true
	for thing, list := range byThing {
		f.countOverlaps(thing, list, stopped)
		if actor.ComparesTokens(thing) {
			f.countStale(list)
			f.Linearizable = f.Linearizable && EffectsLinearizable(list, now)
		}
	}
	f.Linearizable = f.Linearizable && GrantsLinearizable(notes, now)
	f.countTokenRegressions(notes)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countOverlaps counts the effects at whose begin more tokens act on a thing than it has slots, in a sweep over begins and ends. It also
// counts takeovers, that is, effects of another box than the one before.
func (f *Figures) countOverlaps(thing string, list []resource.Effect, stopped func(resource.Effect) bool) {
	var accepted []resource.Effect
	for _, e := range list {
		if e.Begin != 0 {
			accepted = append(accepted, e)
		}
	}
	slices.SortFunc(accepted, func(a, b resource.Effect) int { return cmp.Compare(a.Begin, b.Begin) })
	var open []resource.Effect
	lastBox := ""
	for _, e := range accepted {
		open = slices.DeleteFunc(open, func(other resource.Effect) bool { return other.End <= e.Begin })
		tokens, excused := map[uint64]bool{e.Token: true}, stopped(e)
		for _, other := range open {
			tokens[other.Token] = true
			excused = excused || other.Token != e.Token && stopped(other)
		}
		switch {
		case len(tokens) <= actor.Slots(thing):
		case excused && !actor.ComparesTokens(thing):
			f.Unguarded++
		default:
			f.Overlaps++
			f.note("%s: %d tokens act at the same time at %v, %s with token %d and %v", thing, len(tokens), e.Begin, e.Box, e.Token, open)
		}
		open = append(open, e)
		if lastBox != "" && lastBox != e.Box {
			f.Takeovers++
		}
		lastBox = e.Box
	}
}

// countStale counts effects that a thing accepted although it had accepted one with a newer token before.
func (f *Figures) countStale(list []resource.Effect) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b resource.Effect) int { return cmp.Compare(a.Begin, b.Begin) })
	newest := uint64(0)
	for _, e := range sorted {
		if e.Begin == 0 {
			continue
		}
		if e.Token < newest {
			f.StaleAccepted++
			f.note("%s accepted an effect of %s with token %d after token %d", e.Thing, e.Box, e.Token, newest)
		}
		newest = max(newest, e.Token)
	}
}

// grants pairs each grant with the request before it of the same process and task.
func grants(notes []resource.Note) (list []grant) {
	type requester struct {
		task string
		pid  int
	}
	requestedAt := map[requester]time.Duration{}
	for _, n := range notes {
		k := requester{n.Task, n.Pid}
		switch n.What {
		case "asked":
			requestedAt[k] = n.At
		case "granted":
			if at, ok := requestedAt[k]; ok {
				list = append(list, grant{n.Task, n.Token, at, n.At, n.Pid})
				delete(requestedAt, k)
			}
		}
	}
	return list
}

type grant struct {
	task                    string
	token                   uint64
	requestedAt, answeredAt time.Duration
	pid                     int
}

// countTokenRegressions counts grants whose token is not higher than that of a grant that was answered before they were requested.
func (f *Figures) countTokenRegressions(notes []resource.Note) {
	list := grants(notes)
	for i, g := range list {
		for _, earlier := range list[:i] {
			if earlier.task == g.task && earlier.answeredAt < g.requestedAt && earlier.token >= g.token {
				f.TokenRegressions++
				f.note("%s: token %d was granted after %d", g.task, g.token, earlier.token)
				break
			}
		}
	}
}

// checkTimeout bounds the time of one linearizability check.
const checkTimeout = 20 * time.Second

// EffectsLinearizable reports whether the effects on a thing that compares tokens are linearizable. The model is a register that holds the newest
// token and accepts no lower one; each effect takes place at one moment between its announcement and its end.
func EffectsLinearizable(list []resource.Effect, now time.Duration) bool {
	type output struct{ known, taken bool }
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, out any) (bool, any) {
			newest, token, o := state.(uint64), input.(uint64), out.(output)
			acceptable := token >= newest
			switch {
			case o.known && o.taken != acceptable:
				return false, newest
			case acceptable && o.taken:
				return true, token
			}
			return true, newest
		},
	}
	var ops []porcupine.Operation
	for i, e := range list {
		end := e.End
		if end == 0 {
			end = now
		}
		if e.Begin == 0 && !e.Stale {
			continue // announced, but neither begun nor rejected
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: e.Token, Call: int64(e.AnnouncedAt), Output: output{true, e.Begin != 0}, Return: int64(end)})
	}
	return porcupine.CheckOperationsTimeout(model, ops, checkTimeout) == porcupine.Ok
}

// GrantsLinearizable reports whether the grants are linearizable. The model is a sequencer per task whose tokens increase; each grant takes place
// at one moment between its request and its answer.
func GrantsLinearizable(notes []resource.Note, now time.Duration) bool {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
			byTask := map[string][]porcupine.Operation{}
			for _, o := range history {
				byTask[o.Input.(string)] = append(byTask[o.Input.(string)], o)
			}
			for _, p := range byTask {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() any { return uint64(0) },
		Step: func(state, _, out any) (bool, any) {
			last, token := state.(uint64), out.(uint64)
			return token > last, max(token, last)
		},
	}
	var ops []porcupine.Operation
	for i, g := range grants(notes) {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: g.task, Call: int64(g.requestedAt), Output: g.token, Return: int64(g.answeredAt)})
	}
	return porcupine.CheckOperationsTimeout(model, ops, checkTimeout) == porcupine.Ok
}
