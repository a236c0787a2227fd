// Package policy decides which requests a server admits, when they run and what is signalled to callers.
//
// This file declares the package's interface: the settings (Config), the requests and events that a server
// reports (methods of Controller) and the actions that it carries out (Host). The decisions are in the other
// files.
//
// The decisions keep four rules, which comments refer to by number:
//  1. Every request is answered by its due time.
//  2. A request that must not run twice never has its effect twice.
//  3. A drain answers all requests before the stop and runs none that arrived after its grace.
//  4. Memory, running requests and open calls stay within what the server and its dependency sustain.
package policy

import "time"

// RequestID identifies one attempt of a request on this server.
type RequestID int64

// Semantics states whether a request may run more than once.
type Semantics int

// The values of Semantics.
const (
	Safe   Semantics = iota // may run any number of times
	Keyed                   // may be repeated within a window and must run at most once
	Unsafe                  // must not run again once it may have run
)

// Preemption states what Host.Halt does to running work.
type Preemption int

// The values of Preemption.
const (
	NoHalt    Preemption = iota // Halt must not be used
	DropHalt                    // the work done so far is lost
	PauseHalt                   // the work done so far is kept and occupies the memory of a running request
)

// SignalKind states how callers interpret the value set by Host.Signal.
type SignalKind int

// The values of SignalKind.
const (
	NoSignal      SignalKind = iota // Signal must not be used
	RankFloor                       // callers send no request whose rank is below the value
	CallerTokens                    // each caller has at most that many requests open at this server
	ArrivalChance                   // the probability that a caller picks this server instead of skipping it
)

// DependencyKind states what running requests call.
type DependencyKind int

// The values of DependencyKind.
const (
	NoDependency     DependencyKind = iota
	SharedDependency                // one service that all servers call
	NextTier                        // servers that run this package themselves
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         time.Duration // latency target: an answer within it earns the full worth
	Deadline    time.Duration // callers stop waiting after this time
	Worth       float64
	LateWorth   float64 // share of the worth that an answer later than the aim earns
	Semantics   Semantics
	DedupWindow time.Duration // Keyed: time during which repeats may arrive
	SkipWorth   float64       // share of the worth earned when the call is skipped; 0 forbids skipping
}

// Tenant describes one tenant. Requests over its share of the service are worth little.
type Tenant struct {
	Name     string
	Fraction float64 // its share of the service that all tenants use together
}

// Config holds the settings of one instance, as known when its process starts. Cores, MemoryKB and
// Classes with an Aim and a Deadline are required. The zero values of the other fields are safe:
// RunMemoryFactor and MaxRunsPerCore count as 1, Halt, Signal, Dependency, AnswerReuseTime and advice to hold
// off are not used, and without an AnswerSlack the interval between ticks is derived from the aims.
type Config struct {
	Seed            int64
	Cores           int
	Cold            bool          // the server has just started and is slower until it is warm
	ColdFrom        float64       // lowest speed of a cold server, as a share of its warm speed
	ColdFor         time.Duration // time after which a cold server is warm at the latest
	MemoryKB        float64
	RunMemoryFactor float64       // memory of a running request relative to that of a queued one
	KeyKB           float64       // memory of one stored key
	MaxRunsPerCore  float64       // mean number of running requests per core that a warm server can sustain
	AnswerSlack     time.Duration // how late an answer may be after its due time
	DrainGrace      time.Duration // time after the start of a drain in which arrivals are still admitted
	Classes         []Class
	Tenants         []Tenant // may be empty
	Callers         int      // number of callers at the start
	RetriesMarked   bool     // callers mark retries
	ListedByHealth  bool     // a server whose Host.Health is false is removed from the list that callers use
	Halt            Preemption
	Signal          SignalKind
	SignalLifetime  time.Duration // time for which a caller follows a signal
	MaxHoldOff      time.Duration // longest Advice.HoldOff that callers follow; 0 if they follow none
	Dependency      DependencyKind
	MeanCallLimit   float64       // SharedDependency: mean number of open calls that this server may have
	MeanCallWindow  time.Duration // window over which that mean is taken
	CallLinger      time.Duration // how long an abandoned call may still occupy the dependency
	AnswerReuseTime time.Duration // time for which the answer to a read may be reused for others; 0 for never
	IdleTimeout     time.Duration // idle time after which callers close a connection; 0 if they do not
	WorthByWork     bool          // Class.Worth counts per unit of work, not per request
}

// Request is one attempt of a request that was read from its connection.
type Request struct {
	ID       RequestID
	Class    int  // index into Config.Classes
	Tenant   int  // 1 + index into Config.Tenants; 0 if unknown
	Retry    bool // marked as a retry by its caller
	Caller   int
	KB       float64
	Rank     float64       // 0 to 1; requests of higher worth have a higher rank
	RepeatOf RequestID     // the request with a stored key that this one repeats, or 0
	Expected time.Duration // expected work on a standard core; 0 if unknown
	Key      string
	ReadWait time.Duration // time from its arrival at the machine until it was read
	Due      time.Duration // clock time at which the caller stops waiting; 0 if unknown
	Peers    PeerState
}

// PeerState is the state of the other servers that serve the same callers, as known when a request is read.
// The zero value means that nothing is known about them.
type PeerState struct {
	Version          uint64        // version of this state; returned in the Advice of a rejection
	Known            bool          // Full and RetryAfter are valid
	Full             bool          // none of them has room for the request
	RetryAfter       time.Duration // time until the caller should return, randomized to spread the callers
	BeyondRetryLimit bool          // a retry that exceeds the number that all servers together accept
	// RejectOrder is 2 for requests that are rejected at the slightest overload, 1 for those rejected once
	// many are, and -1 for those that are not rejected at random, as another server would have to read
	// them again.
	RejectOrder int
}

// Outcome states how a run or a call ended.
type Outcome int

// The values of Outcome.
const (
	Succeeded   Outcome = iota
	Failed              // it failed and may have had its effect
	Rejected            // rejected; it certainly never ran
	TimedOut            // abandoned after a time-out; it may have had its effect
	Unreachable         // no connection; it certainly never ran
	Interrupted         // the connection broke; it may have had its effect
	Cancelled           // the run was stopped
	NotStarted          // nothing was started, as the request had already ended
)

// Gauges are measurements of the server.
type Gauges struct {
	CoreDemand float64       // current demand for cores
	Age        time.Duration // time since they were measured
}

// Advice states what the caller of a rejected request should do next.
type Advice struct {
	HoldOff    time.Duration // send nothing to this server for this time
	DoNotRetry bool          // do not retry at another server
	Version    uint64        // Peers.Version of the request
}

// Host carries out the actions of a Controller on its server.
type Host interface {
	Run(id RequestID)                         // start a queued request or resume a paused one
	Reject(id RequestID, advice Advice)       // final answer: rejected
	Fail(id RequestID)                        // final answer: an error
	Reuse(id RequestID)                       // answer with the outcome of the request that it repeats
	StoreKey(id RequestID, ttl time.Duration) // store the key of a request
	DeleteKey(id RequestID)                   // delete the stored key
	Call(id RequestID, maxWait time.Duration) // make the call that the request waits for
	Skip(id RequestID)                        // continue the run without the call
	Halt(id RequestID)                        // stop a run; see Preemption
	Signal(value float64)                     // set the value sent with every answer; see SignalKind
	Health(good bool)                         // set the result that health checks get
	CloseIdle(after time.Duration)            // close connections that are idle for this time
	Wake(after time.Duration)                 // call Controller.Tick after this time
}
