package state

import (
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// ClaimRecord is the state of one key.
type ClaimRecord struct {
	Key model.KeyHash
	// Team is empty in claims from before claims had a team.
	Team        model.TeamID
	Fingerprint model.Fingerprint
	Request     model.RequestID
	// Status is ClaimHeld, ClaimFinished or ClaimUnknown.
	Status ClaimStatus
	// Answer is nil until the claim is finished, and when it is not kept.
	Answer     *model.Answer
	FinishedAt time.Time
	// FinishedIndex is the log index of the Finish.
	FinishedIndex uint64
}

// Barrier refuses claims by attempts that began before Index.
type Barrier struct {
	Key   model.KeyHash
	Index uint64
	At    time.Time
}

// Owner is a run of an instance that holds claims.
type Owner struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
}

// claims holds the claims. Invariant: a key leaves the state held only for finished,
// unknown or, when it provably did not run, for no claim at all.
type claims struct {
	table table
	// held lists the slots of each owner's held claims, so that a death touches only its own.
	held map[Owner]map[uint32]struct{}
	// finished lists the slots of finished claims, oldest first; kept is the part that still
	// has answers, in the same order. Views share finished and barrierAge, so both are only
	// appended to and cut at the front.
	finished    []uint32
	kept        []uint32
	answerBytes int
	barriers    map[model.KeyHash]Barrier
	// barrierAge lists barriers, oldest first. It also holds replaced barriers until compact.
	barrierAge []Barrier
	// floor is the largest index of a forgotten barrier or finished claim. A claim by an
	// attempt that began before it is refused, so that forgetting is always safe.
	floor uint64
}

func newClaims() claims {
	return claims{
		table:    newTable(),
		held:     make(map[Owner]map[uint32]struct{}),
		barriers: make(map[model.KeyHash]Barrier),
	}
}

func (c *claims) lookup(l Lookup) Result {
	r, _ := c.table.find(l.Key)
	if r == nil {
		return Result{Claim: ClaimNone}
	}
	return r.result(l.Fingerprint)
}

func (r *ClaimRecord) result(f model.Fingerprint) Result {
	if r.Fingerprint != f {
		return Result{Claim: ClaimMismatch}
	}
	return Result{Claim: r.Status, Answer: r.Answer}
}

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
	if f := c.room(cmd.Team, limits); f != nil {
		return Result{Claim: ClaimFull, Err: f}
	}
	c.hold(ClaimRecord{Key: cmd.Key, Team: cmd.Team, Fingerprint: cmd.Fingerprint, Request: cmd.Request, Status: ClaimHeld})
	return Result{Claim: ClaimWon}
}

// room refuses a new claim of a team that already holds as many claims as there are free places,
// so that one team takes half of the table at most and leaves room for the others. Claims without
// a team are from before this rule: they are refused only by a full table, as they were then,
// because an entry whose claim was won must win it again when the log is replayed.
func (c *claims) room(team model.TeamID, limits Limits) fault.Fault {
	free, held := max(limits.Claims-c.table.len(), 0), c.table.heldBy(team)
	if free == 0 || team != "" && held >= free {
		return &fault.ClaimsFull{Team: team, Held: held, Bound: free, Limit: limits.Claims}
	}
	return nil
}

func (c *claims) hold(r ClaimRecord) {
	slot := c.table.add(r)
	o := Owner{r.Request.Instance, r.Request.Incarnation}
	if c.held[o] == nil {
		c.held[o] = make(map[uint32]struct{})
	}
	c.held[o][slot] = struct{}{}
}

func (c *claims) unhold(r *ClaimRecord, slot uint32) {
	o := Owner{r.Request.Instance, r.Request.Incarnation}
	delete(c.held[o], slot)
	if len(c.held[o]) == 0 {
		delete(c.held, o)
	}
}

// finish records the outcome. An unknown claim may still become finished, because only
// the attempt that ran can know its answer.
func (c *claims) finish(cmd Finish, index uint64, now time.Time, limits Limits) Result {
	r, slot := c.table.find(cmd.Key)
	if r == nil || r.Request != cmd.Request {
		return Result{Claim: ClaimNone}
	}
	if r.Status == ClaimFinished {
		return Result{Claim: ClaimFinished, Answer: r.Answer}
	}
	c.unhold(r, slot)
	r = c.table.edit(slot)
	r.Status = ClaimFinished
	r.FinishedAt = now
	r.FinishedIndex = index
	c.finished = append(c.finished, slot)
	if cmd.Answer != nil && len(cmd.Answer.Body) <= limits.AnswerBytes {
		r.Answer = cmd.Answer
		c.kept = append(c.kept, slot)
		c.answerBytes += len(cmd.Answer.Body)
	}
	answer := r.Answer
	for c.answerBytes > limits.TotalAnswerBytes {
		if c.kept[0] == slot {
			answer = nil
		}
		c.dropOldestAnswer()
	}
	return Result{Claim: ClaimFinished, Answer: answer}
}

// dropOldestAnswer forgets the oldest kept answer; its claim stays.
func (c *claims) dropOldestAnswer() {
	r := c.table.edit(c.kept[0])
	c.kept = c.kept[1:]
	c.answerBytes -= len(r.Answer.Body)
	r.Answer = nil
}

// abandon makes a held claim unknown.
func (c *claims) abandon(cmd Abandon) Result {
	r, slot := c.table.find(cmd.Key)
	if r == nil || r.Request != cmd.Request {
		return Result{Claim: ClaimNone}
	}
	if r.Status == ClaimHeld {
		c.unhold(r, slot)
		r = c.table.edit(slot)
		r.Status = ClaimUnknown
	}
	return Result{Claim: r.Status, Answer: r.Answer}
}

func (c *claims) release(cmd Release, index uint64, now time.Time, limits Limits) Result {
	r, slot := c.table.find(cmd.Key)
	if r != nil && (r.Request != cmd.Request || r.Status != ClaimHeld) {
		return Result{Claim: r.Status, Answer: r.Answer}
	}
	if r != nil {
		c.unhold(r, slot)
		c.table.remove(slot)
	}
	c.setBarrier(Barrier{Key: cmd.Key, Index: index, At: now}, limits)
	return Result{Claim: ClaimNone}
}

func (c *claims) refuse(cmd Refuse, index uint64, now time.Time, limits Limits) Result {
	if r, _ := c.table.find(cmd.Key); r != nil {
		return Result{Claim: r.Status, Answer: r.Answer}
	}
	c.setBarrier(Barrier{Key: cmd.Key, Index: index, At: now}, limits)
	return Result{Claim: ClaimNone}
}

func (c *claims) setBarrier(b Barrier, limits Limits) {
	c.barriers[b.Key] = b
	c.barrierAge = append(c.barrierAge, b)
	for len(c.barriers) > limits.Barriers {
		c.dropBarrier()
	}
	c.compact()
}

// dropBarrier forgets the oldest barrier. The floor takes its place.
func (c *claims) dropBarrier() {
	b := c.barrierAge[0]
	c.barrierAge = c.barrierAge[1:]
	if c.barriers[b.Key] == b {
		delete(c.barriers, b.Key)
		c.floor = max(c.floor, b.Index)
	}
}

// compact removes replaced barriers from the list once they outnumber the others, so that
// a key refused again and again does not fill it.
func (c *claims) compact() {
	const slack = 1024
	if len(c.barrierAge) <= 2*len(c.barriers)+slack {
		return
	}
	current := make([]Barrier, 0, len(c.barriers)+len(c.barriers)/4)
	for _, b := range c.barrierAge {
		if c.barriers[b.Key] == b {
			current = append(current, b)
		}
	}
	c.barrierAge = current
}

// ownerDead makes the claims of dead incarnations unknown.
func (c *claims) ownerDead(cmd OwnerDead) {
	for o, slots := range c.held {
		if o.Instance != cmd.Instance || o.Incarnation > cmd.Incarnation {
			continue
		}
		for slot := range slots {
			c.table.edit(slot).Status = ClaimUnknown
		}
		delete(c.held, o)
	}
}

// expire forgets finished claims and barriers that are past their retention. Held and
// unknown claims never expire.
func (c *claims) expire(now time.Time, limits Limits) {
	for len(c.finished) > 0 {
		slot := c.finished[0]
		r := c.table.at(slot)
		if now.Sub(r.FinishedAt) <= limits.Retention {
			break
		}
		c.floor = max(c.floor, r.FinishedIndex)
		if r.Answer != nil {
			// Both lists have the same order, so this claim's answer is the oldest kept one.
			c.dropOldestAnswer()
		}
		c.table.remove(slot)
		c.finished = c.finished[1:]
	}
	for len(c.barrierAge) > 0 && now.Sub(c.barrierAge[0].At) > limits.BarrierRetention {
		c.dropBarrier()
	}
}
