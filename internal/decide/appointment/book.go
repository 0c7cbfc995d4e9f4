package appointment

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// MinWait is the shortest time until an appointment. Refused callers are never told to return earlier.
	MinWait = 200 * time.Millisecond
	// slotWidth is the resolution of the booked time: a small part of the shortest latency objective (120 ms).
	slotWidth = 25 * time.Millisecond
	// Horizon is the longest time until an appointment: a third of the longest time that callers have (15 s),
	// beyond which none of them waits.
	Horizon = 5 * time.Second
	// timeSlots is the number of time slots of a lane: the horizon, and the grace of the earliest bookings.
	timeSlots = int((Horizon+Grace)/slotWidth) + 2
	// Early is how long before its time a caller counts as punctual: the round trip between a caller and
	// an instance, and the coarseness of timers.
	Early = 25 * time.Millisecond
	// Grace is how long after its time a caller is still recognised. It opens a new connection, and its
	// own timer may be late.
	Grace = 750 * time.Millisecond
	// maxAppointments bounds the appointments of all lanes: four thousand refused callers a second over the
	// horizon, at about 100 bytes each.
	maxAppointments = 20_000
)

// Lane is a rank of a service, for which time is booked separately.
type Lane struct {
	Service model.PoolID
	Rank    int
}

// Appointment is the time at which the caller of a request has been told to return.
type Appointment struct {
	Fingerprint uint64
	Lane        Lane
	At          time.Time
	// Work is the time that the request is expected to hold a slot of a server.
	Work time.Duration
}

// Room describes the slots that a lane can use for appointments.
type Room struct {
	// From is the time until the first of them is free.
	From time.Duration
	// Slots is the number of slots, which may be a fraction.
	Slots float64
}

// Status tells how a request relates to the appointment of its fingerprint.
type Status uint8

// Statuses of a request.
const (
	// None means that there is no appointment.
	None Status = iota
	// Before means that the caller has come before its time.
	Before
	// Due means that the caller keeps its appointment.
	Due
)

// Book holds the appointments. The zero value is not usable; see New.
type Book struct {
	byFingerprint map[uint64]Appointment
	lanes         map[Lane]*lane
	// expiring holds the fingerprints in the time slot in which their appointments end.
	expiring map[int64][]uint64
	// expired is the last time slot that Expire has handled.
	expired int64
}

// lane holds the booked work of a rank of a service by time slot, in a ring. number is the number of the time
// slot that an element of the ring stands for.
type lane struct {
	number [timeSlots]int64
	work   [timeSlots]time.Duration
	// fingerprints holds the open appointments by time slot, and count their number.
	fingerprints map[int64][]uint64
	count        int
}

// New returns an empty book.
func New() *Book {
	return &Book{byFingerprint: make(map[uint64]Appointment), lanes: make(map[Lane]*lane), expiring: make(map[int64][]uint64)}
}

// Len returns the number of open appointments.
func (b *Book) Len() int { return len(b.byFingerprint) }

// slotOf returns the number of the time slot of a time.
func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotWidth) }

// at returns the booked work of a time slot.
func (l *lane) at(n int64) time.Duration {
	if i := n % int64(timeSlots); l.number[i] == n {
		return l.work[i]
	}
	return 0
}

// add changes the booked work of a time slot.
func (l *lane) add(n int64, work time.Duration) {
	i := n % int64(timeSlots)
	if l.number[i] != n {
		l.number[i], l.work[i] = n, 0
	}
	l.work[i] = max(l.work[i]+work, 0)
}

// Find returns the appointment of a fingerprint and how a request at this time relates to it. A request of
// another lane has none.
func (b *Book) Find(now time.Time, fingerprint uint64, where Lane) (Appointment, Status) {
	a, ok := b.byFingerprint[fingerprint]
	switch {
	case fingerprint == 0 || !ok || a.Lane != where || now.After(a.At.Add(Grace)):
		return Appointment{}, None
	case now.Before(a.At.Add(-Early)):
		return a, Before
	}
	return a, Due
}

// Make books the first time for a request at which the room of its lane is not booked yet, and reports
// whether there is one up to the latest time. The appointment of the request gets that time. A request that
// has an open appointment must not be booked again.
func (b *Book) Make(now time.Time, a Appointment, room Room, latest time.Duration) (time.Time, bool) {
	latest = min(latest, Horizon)
	from := max(room.From, MinWait)
	if a.Fingerprint == 0 || room.Slots <= 0 || from > latest || len(b.byFingerprint) >= maxAppointments {
		return time.Time{}, false
	}
	l := b.lane(a.Lane)
	perSlot := time.Duration(room.Slots * float64(slotWidth))
	open, first, end := slotOf(now.Add(room.From)), slotOf(now.Add(from))+1, slotOf(now.Add(latest))
	// backlog is the work that is booked for a time slot or an earlier one and not done before the slot.
	var backlog time.Duration
	for n := slotOf(now); n < end; n++ {
		backlog += l.at(n)
		if n >= first && (backlog == 0 || backlog < perSlot) {
			a.At = spread(n, a.Fingerprint)
			b.insert(a)
			return a.At, true
		}
		if n >= open {
			backlog = max(backlog-perSlot, 0)
		}
	}
	return time.Time{}, false
}

// spread returns a time in a time slot that depends on the fingerprint.
func spread(n int64, fingerprint uint64) time.Time {
	return time.Unix(0, n*int64(slotWidth)+int64(fingerprint%uint64(slotWidth)))
}

// insert adds an appointment.
func (b *Book) insert(a Appointment) {
	b.byFingerprint[a.Fingerprint] = a
	l := b.lane(a.Lane)
	l.add(slotOf(a.At), a.Work)
	l.count++
	l.fingerprints[slotOf(a.At)] = append(l.fingerprints[slotOf(a.At)], a.Fingerprint)
	end := slotOf(a.At.Add(Grace)) + 1
	b.expiring[end] = append(b.expiring[end], a.Fingerprint)
}

// lane returns the booked time of a lane, which it creates if needed.
func (b *Book) lane(where Lane) *lane {
	l := b.lanes[where]
	if l == nil {
		l = &lane{fingerprints: make(map[int64][]uint64)}
		b.lanes[where] = l
	}
	return l
}

// Remove removes the appointment of a fingerprint, because its caller has returned or another scheduler
// has taken it in. Its time can be booked again.
func (b *Book) Remove(fingerprint uint64) {
	a, ok := b.byFingerprint[fingerprint]
	if !ok {
		return
	}
	delete(b.byFingerprint, fingerprint)
	l := b.lanes[a.Lane]
	n := slotOf(a.At)
	l.add(n, -a.Work)
	if l.fingerprints[n] = slices.DeleteFunc(l.fingerprints[n], func(f uint64) bool { return f == fingerprint }); len(l.fingerprints[n]) == 0 {
		delete(l.fingerprints, n)
	}
	if l.count--; l.count == 0 {
		delete(b.lanes, a.Lane)
	}
}

// Adopt takes in an appointment that another book has made. The one that ends later stays if there is
// already one.
func (b *Book) Adopt(now time.Time, a Appointment) {
	known, ok := b.byFingerprint[a.Fingerprint]
	switch {
	case a.Fingerprint == 0 || now.After(a.At.Add(Grace)) || a.At.After(now.Add(Horizon)):
	case ok && !known.At.Before(a.At):
	case !ok && len(b.byFingerprint) >= maxAppointments:
	default:
		b.Remove(a.Fingerprint)
		b.insert(a)
	}
}

// Expire removes the appointments whose callers have not returned in time.
func (b *Book) Expire(now time.Time) {
	current := slotOf(now)
	if b.expired >= current {
		return
	}
	b.expired = current
	for n, list := range b.expiring {
		if n > current {
			continue
		}
		for _, f := range list {
			// The fingerprint may have got a later appointment since.
			if a, ok := b.byFingerprint[f]; ok && now.After(a.At.Add(Grace)) {
				b.Remove(f)
			}
		}
		delete(b.expiring, n)
	}
}

// Booked returns the work that is booked in a lane between now and a time.
func (b *Book) Booked(now time.Time, where Lane, until time.Time) time.Duration {
	l := b.lanes[where]
	if l == nil {
		return 0
	}
	var sum time.Duration
	for n := slotOf(now); n <= min(slotOf(until), slotOf(now)+int64(timeSlots)); n++ {
		sum += l.at(n)
	}
	return sum
}

// Due returns the fingerprints of the appointments of a lane that are due within a time or are still kept.
func (b *Book) Due(now time.Time, where Lane, within time.Duration) []uint64 {
	l := b.lanes[where]
	if l == nil {
		return nil
	}
	var out []uint64
	for n := slotOf(now.Add(-Grace)); n <= slotOf(now.Add(within+Early)); n++ {
		out = append(out, l.fingerprints[n]...)
	}
	return out
}

// All returns the open appointments.
func (b *Book) All() []Appointment {
	out := make([]Appointment, 0, len(b.byFingerprint))
	for _, a := range b.byFingerprint {
		out = append(out, a)
	}
	return out
}
