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
	// controlCapacity and syncCapacity are the capacities of the two rings of section 2 of the
	// design page.
	controlCapacity = 4096
	syncCapacity    = 256
	tickInterval    = 50 * time.Millisecond
	// maxMessagesPerTurn bounds the messages that are handled before the node's output is processed.
	// Handling several together lets concurrent proposals share messages and syncs.
	maxMessagesPerTurn = 256
	// maxBatchesInFlight is the number of batches at the sync duty at once: one is being synced
	// while the next one waits.
	maxBatchesInFlight = 2
	// compactEntries and compactBytes bound the log that a restart has to replay.
	compactEntries = 10_000
	compactBytes   = 64 << 20
	// awaitTimeout is the longest time that an Await waits for its claim to end.
	awaitTimeout = 10 * time.Second
	// maxParkedAwaits bounds the parked Awaits; further ones are answered at once.
	maxParkedAwaits = 16384
	// reopenDelay is the pause before an unattended voter that has failed opens its folder again.
	// Disks that were full or hung recover within seconds.
	reopenDelay = 500 * time.Millisecond
	// transferTimeout bounds the wait for a leadership transfer during a stop.
	transferTimeout = 2 * time.Second
)

// Settings configure a voter.
type Settings struct {
	Self model.InstanceID
	// Folder is the data folder.
	Folder string
	// Initial lists the initial voters of the group, including this instance. It is used to found
	// the group on the first start, and later to find it again.
	Initial []model.InstanceID
	Limits  state.Limits
	// Files is the file system; nil means that of the operating system.
	Files storage.FS
	// Now is the clock of leases and elections; nil means time.Now.
	Now clock.Clock
	// Unattended lets the voter recover without an operator; nil leaves recovery to an operator.
	Unattended *Unattended
}

// Unattended configures a voter of a control group that has no operator.
type Unattended struct {
	// MayFoundGroup allows this voter to take part in founding the group. Without it the voter only
	// joins a group that exists.
	MayFoundGroup bool
	// Voters is the number of voters that the leader maintains.
	Voters int
	// MembersFrom names the service with the port.MembersObserver that lists the members of an existing
	// group, for a folder without a log. Without it only the initial voters are asked to join.
	MembersFrom string
	// CompactBytes and TrailingEntries replace compactBytes and consensus.TrailingEntries where the
	// entries are large and the disk is small.
	CompactBytes    int
	TrailingEntries uint64
}

// Codecs encode and decode commands, snapshots and the messages of internal/port/controlmsg.go.
type Codecs interface {
	EncodeCommand(c state.Command) ([]byte, error)
	DecodeCommand(data []byte) (state.Command, error)
	// EncodeSnapshot is called by the snapshot duty.
	EncodeSnapshot(v *state.View) ([]byte, error)
	DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error)
	// Messages is the codec of messages between instances and voters.
	Messages() port.Codec
}

// Sessions decides how the leader answers heartbeats. The control duty calls Begin when the voter
// becomes the leader, and the other methods once it has committed an entry of its own term.
type Sessions interface {
	// Begin starts a term of leadership, with nothing known about the instances.
	Begin(now time.Time)
	// Heartbeat returns the reply to a heartbeat, or false if none is to be sent.
	Heartbeat(now time.Time, h port.Heartbeat, m *state.Machine, voters []model.InstanceID) (port.HeartbeatReply, bool)
	// Tick returns the commands that the leader has to propose by now.
	Tick(now time.Time, m *state.Machine) []state.Command
}

// compactBytes returns the number of bytes of applied entries after which a snapshot is made.
func (s *Settings) compactBytes() int {
	if s.Unattended != nil && s.Unattended.CompactBytes > 0 {
		return s.Unattended.CompactBytes
	}
	return compactBytes
}

// consensus returns the settings of the consensus node that do not depend on the folder.
func (s *Settings) consensus() consensus.Settings {
	c := consensus.Settings{Trailing: consensus.TrailingEntries, InitialVoters: s.Initial}
	if u := s.Unattended; u != nil {
		c.JoinOnly, c.Voters = !u.MayFoundGroup, u.Voters
		if u.TrailingEntries > 0 {
			c.Trailing = u.TrailingEntries
		}
	}
	return c
}
