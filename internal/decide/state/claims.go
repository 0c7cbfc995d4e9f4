package state

import (
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// ClaimRecord is the claim of one idempotency key.
type ClaimRecord struct {
	Key model.KeyHash
	// Team is empty in claims from log entries that predate the field.
	Team        model.TeamID
	Fingerprint model.Fingerprint
	Request     model.RequestID
	// Status is ClaimHeld, ClaimFinished or ClaimUnknown.
	Status ClaimStatus
	// Answer is nil until the claim is finished, and afterwards if the answer is not retained.
	Answer     *model.Answer
	FinishedAt time.Time
	// FinishedIndex is the log index of the Finish command.
	FinishedIndex uint64
}

// Barrier refuses claims by attempts that began before Index.
type Barrier struct {
	Key   model.KeyHash
	Index uint64
	At    time.Time
}

// Owner is an incarnation of an instance that holds claims.
type Owner struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
}

// claims is the table of claims with its indexes and barriers. Invariant: a held claim only
// becomes finished or unknown, or is removed if its request provably did not run.
type claims struct {
	table table
	// held indexes the slots of held claims by owner, so that OwnerDead visits only the claims
	// of that owner.
	held map[Owner]map[uint32]struct{}
	// finished lists the slots of finished claims, oldest first; withAnswer is the subset that
	// still has answers, in the same order. Views share the arrays of finished and barrierQueue,
	// so elements are only appended at the end and removed from the front.
	finished    []uint32
	withAnswer  []uint32
	answerBytes int
	barriers    map[model.KeyHash]Barrier
	// barrierQueue lists barriers, oldest first. It also holds replaced barriers until they are
	// compacted.
	barrierQueue []Barrier
	// floor is the largest index of a removed barrier or finished claim. A claim by an attempt
	// that began before it is refused, which makes removing them safe.
	floor uint64
}

func newClaims() claims {
	return claims{
		table:    newTable(),
		held:     make(map[Owner]map[uint32]struct{}),
		barriers: make(map[model.KeyHash]Barrier),
	}
}

// lookup returns the status and answer of the claim of a key.
func (c *claims) lookup(l Lookup) Result {
	r, _ := c.table.find(l.Key)
	if r == nil {
		return Result{Claim: ClaimNone}
	}
	return r.result(l.Fingerprint)
}

// result returns the status and answer of the claim to a request with the given fingerprint.
func (r *ClaimRecord) result(f model.Fingerprint) Result {
	if r.Fingerprint != f {
		return Result{Claim: ClaimMismatch}
	}
	return Result{Claim: r.Status, Answer: r.Answer}
}

// claim reserves the key for the attempt, unless a claim exists, the attempt began before a
// barrier or the floor, or there is no capacity. A resent claim that is still held is won again.
func (c *claims) claim(cmd Claim, limits Limits) Result {
	if r, _ := c.table.find(cmd.Key); r != nil {
		if r.Request == cmd.Request && r.Status == ClaimHeld {
			return Result{Claim: ClaimWon}
		}
		return r.result(cmd.Fingerprint)
	}
	if cmd.SeenIndex < max(c.floor, c.barriers[cmd.Key].Index) {
		return Result{Claim: ClaimSuperseded}
	}
	if f := c.checkCapacity(cmd.Team, limits); f != nil {
		return Result{Claim: ClaimFull, Err: f}
	}
	c.addHeld(ClaimRecord{Key: cmd.Key, Team: cmd.Team, Fingerprint: cmd.Fingerprint, Request: cmd.Request, Status: ClaimHeld})
	return Result{Claim: ClaimWon}
}

// checkCapacity refuses a new claim of a team that already has as many claims as there are free
// places, so that one team can use at most half of the table. Claims without a team predate this
// rule and are refused only when the table is full, because a claim that was won must be won again
// when the log is replayed.
func (c *claims) checkCapacity(team model.TeamID, limits Limits) fault.Fault {
	free, held := max(limits.Claims-c.table.len(), 0), c.table.teamCount(team)
	if free == 0 || team != "" && held >= free {
		return &fault.ClaimsFull{Team: team, Held: held, Bound: free, Limit: limits.Claims}
	}
	return nil
}

// addHeld adds a held claim and indexes it by its owner.
func (c *claims) addHeld(r ClaimRecord) {
	slot := c.table.add(r)
	o := Owner{r.Request.Instance, r.Request.Incarnation}
	if c.held[o] == nil {
		c.held[o] = make(map[uint32]struct{})
	}
	c.held[o][slot] = struct{}{}
}

// removeHeld removes a claim from the index of held claims; its record stays in the table.
func (c *claims) removeHeld(r *ClaimRecord, slot uint32) {
	o := Owner{r.Request.Instance, r.Request.Incarnation}
	delete(c.held[o], slot)
	if len(c.held[o]) == 0 {
		delete(c.held, o)
	}
}

// finish records the outcome of a claim and evicts the oldest answers beyond the size limit. An
// unknown claim may still become finished, because only the attempt that ran can know its answer.
func (c *claims) finish(cmd Finish, index uint64, now time.Time, limits Limits) Result {
	r, slot := c.table.find(cmd.Key)
	if r == nil || r.Request != cmd.Request {
		return Result{Claim: ClaimNone}
	}
	if r.Status == ClaimFinished {
		return Result{Claim: ClaimFinished, Answer: r.Answer}
	}
	c.removeHeld(r, slot)
	r = c.table.writable(slot)
	r.Status = ClaimFinished
	r.FinishedAt = now
	r.FinishedIndex = index
	c.finished = append(c.finished, slot)
	if cmd.Answer != nil && len(cmd.Answer.Body) <= limits.AnswerBytes {
		r.Answer = cmd.Answer
		c.withAnswer = append(c.withAnswer, slot)
		c.answerBytes += len(cmd.Answer.Body)
	}
	answer := r.Answer
	for c.answerBytes > limits.TotalAnswerBytes {
		if c.withAnswer[0] == slot {
			answer = nil
		}
		c.removeOldestAnswer()
	}
	return Result{Claim: ClaimFinished, Answer: answer}
}

// removeOldestAnswer removes the oldest retained answer; its claim stays.
func (c *claims) removeOldestAnswer() {
	r := c.table.writable(c.withAnswer[0])
	c.withAnswer = c.withAnswer[1:]
	c.answerBytes -= len(r.Answer.Body)
	r.Answer = nil
}

// abandon marks a held claim as unknown.
func (c *claims) abandon(cmd Abandon) Result {
	r, slot := c.table.find(cmd.Key)
	if r == nil || r.Request != cmd.Request {
		return Result{Claim: ClaimNone}
	}
	if r.Status == ClaimHeld {
		c.removeHeld(r, slot)
		r = c.table.writable(slot)
		r.Status = ClaimUnknown
	}
	return Result{Claim: r.Status, Answer: r.Answer}
}

// release removes the claim that the request holds and sets a barrier. It also sets a barrier if
// the key has no claim; a claim that is not held by the request is returned unchanged.
func (c *claims) release(cmd Release, index uint64, now time.Time, limits Limits) Result {
	r, slot := c.table.find(cmd.Key)
	if r != nil && (r.Request != cmd.Request || r.Status != ClaimHeld) {
		return Result{Claim: r.Status, Answer: r.Answer}
	}
	if r != nil {
		c.removeHeld(r, slot)
		c.table.remove(slot)
	}
	c.setBarrier(Barrier{Key: cmd.Key, Index: index, At: now}, limits)
	return Result{Claim: ClaimNone}
}

// refuse sets a barrier unless the key has a claim.
func (c *claims) refuse(cmd Refuse, index uint64, now time.Time, limits Limits) Result {
	if r, _ := c.table.find(cmd.Key); r != nil {
		return Result{Claim: r.Status, Answer: r.Answer}
	}
	c.setBarrier(Barrier{Key: cmd.Key, Index: index, At: now}, limits)
	return Result{Claim: ClaimNone}
}

// setBarrier sets or replaces the barrier of a key and removes the oldest barriers beyond the
// limit.
func (c *claims) setBarrier(b Barrier, limits Limits) {
	c.barriers[b.Key] = b
	c.barrierQueue = append(c.barrierQueue, b)
	for len(c.barriers) > limits.Barriers {
		c.removeOldestBarrier()
	}
	c.compactBarrierQueue()
}

// removeOldestBarrier removes the first barrier of the queue. Unless it was replaced, the floor
// is raised to its index.
func (c *claims) removeOldestBarrier() {
	b := c.barrierQueue[0]
	c.barrierQueue = c.barrierQueue[1:]
	if c.barriers[b.Key] == b {
		delete(c.barriers, b.Key)
		c.floor = max(c.floor, b.Index)
	}
}

// compactBarrierQueue removes replaced barriers from the queue once they outnumber the current
// ones by more than slack, so that repeated refusals of one key do not grow it without bound.
func (c *claims) compactBarrierQueue() {
	const slack = 1024
	if len(c.barrierQueue) <= 2*len(c.barriers)+slack {
		return
	}
	current := make([]Barrier, 0, len(c.barriers)+len(c.barriers)/4)
	for _, b := range c.barrierQueue {
		if c.barriers[b.Key] == b {
			current = append(current, b)
		}
	}
	c.barrierQueue = current
}

// ownerDead marks the held claims of dead incarnations as unknown.
func (c *claims) ownerDead(cmd OwnerDead) {
	for o, slots := range c.held {
		if o.Instance != cmd.Instance || o.Incarnation > cmd.Incarnation {
			continue
		}
		for slot := range slots {
			c.table.writable(slot).Status = ClaimUnknown
		}
		delete(c.held, o)
	}
}

// expire removes finished claims and barriers that are past their retention. Held and unknown
// claims never expire.
func (c *claims) expire(now time.Time, limits Limits) {
	for len(c.finished) > 0 {
		slot := c.finished[0]
		r := c.table.at(slot)
		if now.Sub(r.FinishedAt) <= limits.Retention {
			break
		}
		c.floor = max(c.floor, r.FinishedIndex)
		if r.Answer != nil {
			// Both lists have the same order, so this claim's answer is the oldest retained one.
			c.removeOldestAnswer()
		}
		c.table.remove(slot)
		c.finished = c.finished[1:]
	}
	for len(c.barrierQueue) > 0 && now.Sub(c.barrierQueue[0].At) > limits.BarrierRetention {
		c.removeOldestBarrier()
	}
}
