package control

import (
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/storage"
)

const (
	// controlCapacity and syncCapacity are the sizes of the two rings of section 2 of the
	// design page.
	controlCapacity = 4096
	syncCapacity    = 256
	tick            = 50 * time.Millisecond
	// turn bounds the messages that are taken before their output is carried out, so that
	// concurrent proposals share messages and syncs.
	turn = 256
	// batchesAhead is the number of batches given to the sync duty at once: one is synced
	// while the next one collects.
	batchesAhead = 2
	// compactEntries and compactBytes bound the log that a restart has to replay.
	compactEntries = 10_000
	compactBytes   = 64 << 20
	// awaitTimeout bounds an Await.
	awaitTimeout = 10 * time.Second
	// awaitLimit bounds the parked Awaits; further ones are answered at once.
	awaitLimit = 16384
	// reopenAfter is the pause before a voter whose log failed opens its folder again. Disks that
	// were full or hung come back after seconds.
	reopenAfter = 500 * time.Millisecond
	// transferTimeout bounds the wait for another leader during a stop.
	transferTimeout = 2 * time.Second
)

// Settings of a voter.
type Settings struct {
	Self model.InstanceID
	// Folder is the data folder.
	Folder string
	// Initial lists the first voters of the group, this instance included. It is used on the
	// first start, and later to find the group again.
	Initial []model.InstanceID
	Limits  state.Limits
	// Files is the file system; nil means that of the operating system.
	Files storage.FS
	// Now is the clock of leases and elections; nil means time.Now.
	Now clock.Clock
	// Unattended keeps the voter going without an operator; nil leaves it to one.
	Unattended *Unattended
}

// Unattended settings apply where no operator looks after the control group.
type Unattended struct {
	// Found lets this voter take part in founding the group.
	Found bool
	// Voters is the number of voters that the leader keeps.
	Voters int
	// CompactBytes and Trailing replace compactBytes and consensus.TrailingEntries where the
	// entries are large and the disk is small.
	CompactBytes int
	Trailing     uint64
}

// Codecs convert commands, snapshots and the messages of internal/port/controlmsg.go.
type Codecs interface {
	EncodeCommand(c state.Command) ([]byte, error)
	DecodeCommand(data []byte) (state.Command, error)
	// EncodeSnapshot is called by the snapshot duty.
	EncodeSnapshot(v *state.View) ([]byte, error)
	DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error)
	// Messages is the codec of messages between instances and voters.
	Messages() port.Codec
}

// Sessions decides how the leader answers heartbeats. Its calls come from the control duty of a
// leader that has applied an entry of its own term.
type Sessions interface {
	// Begin starts a term with nothing known about the instances.
	Begin(now time.Time)
	// Heartbeat returns the answer, or false if there is none.
	Heartbeat(now time.Time, h port.Heartbeat, m *state.Machine, voters []model.InstanceID) (port.HeartbeatReply, bool)
	// Tick returns commands to propose.
	Tick(now time.Time, m *state.Machine) []state.Command
}

// compactBytes returns the size of the log after which a snapshot is made.
func (s *Settings) compactBytes() int {
	if s.Unattended != nil && s.Unattended.CompactBytes > 0 {
		return s.Unattended.CompactBytes
	}
	return compactBytes
}

// consensus returns the settings of the node of a folder.
func (s *Settings) consensus() consensus.Settings {
	c := consensus.Settings{Trailing: consensus.TrailingEntries, Initial: s.Initial}
	if u := s.Unattended; u != nil {
		c.JoinOnly, c.Voters = !u.Found, u.Voters
		if u.Trailing > 0 {
			c.Trailing = u.Trailing
		}
	}
	return c
}
