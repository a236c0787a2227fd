package policy

// This file holds the concurrency limit: how many requests run at once.

import (
	"math"
	"time"
)

// Tuned values of the concurrency limit.
const (
	poolRatio    = 1.2  // an underused pool shrinks to its last peak use times this
	exploreShare = 0.4  // chance that a full pool explores rather than optimizes
	exploreReach = 0.15 // how far a step goes, as a share of the size, one at the least
	resizeRuns   = 12.0 // mean runs between resizes: few cores complete few, whose mean tells nothing
	resizeDelays = 2    // referenceDelays between resizes at the least
	statResizes  = 20   // resizes after which a measured size is forgotten: speeds change
	moveGain     = 1.03 // a nearby size must be better by this factor to be moved to
	idleRoots    = 0.57 // roots of the core count that idle cores leave free (square-root staffing)
	crowdShare   = 0.8  // share of the survivable crowd that may be in hand
)

// crowd is how many requests may be in hand, at calls included: they come back unannounced.
func (c *Controller) crowd() int {
	warmth := 1.0
	if c.cfg.Cold && c.now-c.began < c.cfg.ColdFor {
		warmth = c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*float64(c.now-c.began)/float64(c.cfg.ColdFor)
	}
	limit := float64(c.cfg.Cores) * (1 + (c.cfg.FallFactor-1)*warmth)
	return max(1, int(limit*crowdShare*c.share))
}

// Share gives this instance a part of its server, while another process of it runs work (rule 4).
func (c *Controller) Share(now time.Duration, share float64) {
	c.begin(now)
	c.share = share
	c.pool = min(c.pool, c.crowd())
}

// resize takes one of the paper's three steps, or climbs while cores idle though work is held.
func (c *Controller) resize() {
	c.climb()
	since := c.now - c.resized
	if since < c.interval() {
		return
	}
	if c.full {
		if c.completions > 0 && c.pool < len(c.stats) {
			c.stats[c.pool] = sizeStat{c.completions / since.Seconds(), c.latencySum / c.completions, c.now}
		}
		if c.random() < exploreShare {
			c.explore()
		} else {
			c.optimize()
		}
	} else {
		c.pool = min(c.pool, int(math.Ceil(float64(c.peak)*poolRatio)))
	}
	c.pool = min(max(c.pool, c.cfg.Cores), c.crowd())
	c.resized, c.peak, c.full = c.now, c.count[running], false
	c.completions, c.latencySum = 0, 0
}

func (c *Controller) interval() time.Duration {
	return max(resizeDelays*c.referenceDelay, time.Duration(resizeRuns*c.meanRun*float64(time.Second)))
}

func (c *Controller) climb() {
	c.pool = min(c.pool, c.crowd())
	cores := float64(c.cfg.Cores)
	idle := c.onCores < cores-idleRoots*math.Sqrt(cores)
	if idle && c.full && c.count[held] > 0 && c.now-c.climbed >= c.referenceDelay {
		c.pool = min(c.pool+max(1, c.cfg.Cores/4), c.crowd())
		c.climbed = c.now
	}
}

func (c *Controller) reach() int { return max(1, int(exploreReach*float64(c.pool))) }

func (c *Controller) explore() {
	c.pool += int(c.random()*float64(2*c.reach()+1)) - c.reach()
}

// optimize moves to the best size within reach, by throughput over latency.
func (c *Controller) optimize() {
	best, bestMerit := c.pool, 0.0
	for s := max(1, c.pool-c.reach()); s <= min(c.pool+c.reach(), len(c.stats)-1); s++ {
		st := c.stats[s]
		if st.latency <= 0 || c.now-st.at > statResizes*c.interval() {
			continue
		}
		merit := st.throughput / st.latency
		if s != c.pool {
			merit /= moveGain
		}
		if merit > bestMerit {
			best, bestMerit = s, merit
		}
	}
	c.pool = best
}
