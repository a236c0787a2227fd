package main

import (
	"math/rand/v2"
	"time"
)

// leak plays steady traffic of keyed classes whose callers wait half of the deadline for a try, then say forget and ask once
// more. With trouble, the link to the engine breaks now and then for two thirds of the day, each time with the commands of the
// last 45 ms. The last third has no trouble: the replica is judged by what it serves then.
func leak(dir string, trouble bool, rec *record) (broken int, err error) {
	const (
		troubled, calm     = 66 * time.Second, 33 * time.Second
		deadline, patience = 6 * time.Second, 3 * time.Second
	)
	settings := ammanSettings()
	for _, l := range settings["lanes"].([]any) {
		lane := l.(map[string]any)
		lane["semantics"], lane["deadline"], lane["dedup-window"] = "idempotency_key", deadline.Microseconds(), 10_000_000
	}
	site, err := newSite(dir, rec, settings, 20*time.Millisecond, 0)
	if err != nil {
		return 0, err
	}
	defer site.replica.kill()
	e, listen := site.engine, site.listen
	seed := uint64(time.Now().UnixNano())
	rec.add("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 2))
	work := func(low, high int) time.Duration { return time.Duration(low+random.IntN(high-low)) * time.Millisecond }
	router, err := dialRouter(listen, "router 2", rec, e)
	if err != nil {
		return 0, err
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	var all []*try
	if trouble {
		gaps := rand.New(rand.NewPCG(seed, 3))
		go func() {
			for time.Since(began) < troubled {
				time.Sleep(time.Duration(1000+gaps.IntN(400)) * time.Millisecond)
				e.breakLink(45 * time.Millisecond)
			}
		}()
	}
	for time.Since(began) < troubled+calm {
		time.Sleep(time.Duration(30+random.IntN(60)) * time.Millisecond)
		if router.isClosed() {
			if router, err = dialRouter(listen, "router 2 anew", rec, e); err != nil {
				return 0, err
			}
		}
		var gone, tries []*try
		router.mu.Lock()
		for _, t := range router.open {
			if !t.gone && time.Since(t.written) >= patience {
				gone = append(gone, t)
			}
		}
		router.mu.Unlock()
		for _, t := range gone {
			if !t.second {
				job := *t.job
				job.txn, job.over = hex(random, 16), false
				tries = append(tries, &try{job: &job, tenant: t.tenant, second: true})
			}
		}
		t := &try{job: &job{txn: hex(random, 16), body: "body " + hex(random, 32), unique: hex(random, 32)}, tenant: "heritage-hall"}
		switch n := random.IntN(100); {
		case n < 38:
			t.class, t.calls, t.work = "view-full", 1, work(207, 368)
		case n < 74:
			t.class, t.work = "make-tiles", work(299, 507)
		default:
			t.class, t.calls, t.work = "save-caption", 1, work(124, 216)
		}
		if router.waiting()-len(gone)+len(tries) < 32 {
			tries = append(tries, t)
		}
		if len(gone)+len(tries) == 0 {
			continue
		}
		if router.write(gone, tries, 2) != nil {
			continue // the connection has ended
		}
		all = append(all, tries...)
	}
	time.Sleep(patience)
	router.mu.Lock()
	defer router.mu.Unlock()
	first, last := map[string]int{}, map[string]int{}
	asked, served, lost := 0, 0, 0
	for _, t := range all {
		if t.ended && t.answer == "" && !t.gone && t.at.Sub(t.written) >= crossing {
			lost++
			rec.add("LOST %s %s: its connection ended without an answer, %d ms after it was written", t.class, t.txn, t.at.Sub(t.written).Milliseconds())
		}
		switch at := t.door.Sub(began); {
		case at < troubled:
			first[t.answer]++
		case at >= troubled:
			last[t.answer]++
			asked++
			if t.answer == "served" {
				served++
			}
		}
	}
	rec.say("tries in the first two thirds: %v; in the last %v, without trouble: %v", first, calm, last)
	if served*5 < asked {
		rec.say("HANG: the replica runs next to nothing any more: %d served of %d without trouble", served, asked)
		broken++
	}
	if lost*1000 >= allowedLost*len(all) {
		rec.say("%d of %d tries lost", lost, len(all))
		broken += lost
	}
	return broken, nil
}
