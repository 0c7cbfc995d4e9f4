package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"briaryard/internal/fault"
)

// Class describes the requests of one kind in a mix.
type Class struct {
	Name string
	// Share is the weight of the class: its fraction of all requests is Share divided by the
	// sum of the shares of the mix.
	Share int
	Team  string
	Tier  string
	// Model, or Service and Path, select the target of the call.
	Model   string
	Service string
	Path    string
	// Keyed calls carry an idempotency key.
	Keyed bool
	// PromptBytes and Tokens are the lower and upper bounds of the prompt and answer lengths
	// of a model call; the distribution between them is skewed towards the lower one.
	PromptBytes [2]int
	Tokens      [2]int
	// Prefixes is the number of different shared prompt prefixes; zero shares none.
	Prefixes int
	Deadline time.Duration
	// Impatient callers resend each keyed request while it is still open.
	Impatient bool
}

// Mix is a workload that consists of weighted classes of requests.
type Mix struct {
	Name    string
	Classes []Class
}

// Mixes returns the workloads of the two deployments and of examples/office, by name.
func Mixes() map[string]Mix {
	return map[string]Mix{"office": officeMix(), "workshop": workshopMix(), "example-office": exampleOfficeMix()}
}

// officeMix is the workload of the footwear office: chats during a fitting, notes,
// summaries and bookings.
func officeMix() Mix {
	return Mix{Name: "office", Classes: []Class{
		{Name: "chat", Share: 30, Team: "studio", Tier: "urgent", Model: "notes", PromptBytes: [2]int{200, 2000}, Tokens: [2]int{8, 40}, Prefixes: 20, Deadline: 8 * time.Second},
		{Name: "note", Share: 20, Team: "fitting", Tier: "interactive", Model: "notes", PromptBytes: [2]int{1000, 8000}, Tokens: [2]int{30, 120}, Prefixes: 10, Deadline: 15 * time.Second},
		{Name: "summary", Share: 25, Team: "archive", Tier: "batch", Model: "notes", PromptBytes: [2]int{4000, 30000}, Tokens: [2]int{40, 200}, Deadline: 12 * time.Second},
		{Name: "stock", Share: 15, Team: "studio", Tier: "interactive", Service: "booking", Path: "/stock", Deadline: 5 * time.Second},
		{Name: "book", Share: 5, Team: "studio", Tier: "interactive", Service: "booking", Path: "/book", Keyed: true, Deadline: 10 * time.Second},
		{Name: "loaner", Share: 5, Team: "partner", Tier: "standard", Service: "booking", Path: "/loaner", Keyed: true, Deadline: 10 * time.Second, Impatient: true},
	}}
}

// workshopMix is the workload of the violin workshop: long proposals with shared
// prefixes, short assessments, live chats, deposits and bench reservations.
func workshopMix() Mix {
	return Mix{Name: "workshop", Classes: []Class{
		{Name: "chat", Share: 30, Team: "studio", Tier: "urgent", Model: "notes", PromptBytes: [2]int{200, 2000}, Tokens: [2]int{8, 40}, Prefixes: 20, Deadline: 8 * time.Second},
		{Name: "assessment", Share: 20, Team: "fitting", Tier: "interactive", Model: "notes", PromptBytes: [2]int{500, 2000}, Tokens: [2]int{20, 60}, Deadline: 15 * time.Second},
		{Name: "proposal", Share: 20, Team: "archive", Tier: "standard", Model: "notes", PromptBytes: [2]int{8000, 60000}, Tokens: [2]int{100, 400}, Prefixes: 4, Deadline: 60 * time.Second},
		{Name: "status", Share: 20, Team: "studio", Tier: "interactive", Service: "booking", Path: "/stock", Deadline: 5 * time.Second},
		{Name: "deposit", Share: 5, Team: "partner", Tier: "standard", Service: "booking", Path: "/deposit", Keyed: true, Deadline: 10 * time.Second, Impatient: true},
		{Name: "bench", Share: 5, Team: "partner", Tier: "standard", Service: "booking", Path: "/book", Keyed: true, Deadline: 10 * time.Second, Impatient: true},
	}}
}

// MixByName returns the mix with a name, or fault.InvalidSetting if there is none.
func MixByName(name string) (Mix, error) {
	m, ok := Mixes()[name]
	if !ok {
		return Mix{}, &fault.InvalidSetting{Setting: "--mix", Reason: "want office, workshop or example-office"}
	}
	return m, nil
}

// arrival is one scheduled request; at is its offset from the start of the run.
type arrival struct {
	class  *Class
	at     time.Duration
	prompt string
	tokens int
	key    string
}

// Every burstEvery, the rate is burstFactor times the mean for burstLength. Between bursts it
// is lower, so that the mean is the requested rate.
const (
	burstEvery  = 10 * time.Second
	burstLength = time.Second
	burstFactor = 3.0
)

// schedule generates the arrivals of a run as a Poisson process with bursts. The same seed
// gives the same arrivals.
func schedule(mix Mix, seed uint64, rate float64, duration time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	burstShare := burstLength.Seconds() / burstEvery.Seconds()
	baseRate := rate * (1 - burstFactor*burstShare) / (1 - burstShare)
	var out []arrival
	for at := time.Duration(0); ; {
		currentRate := baseRate
		if at%burstEvery < burstLength {
			currentRate = rate * burstFactor
		}
		at += time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))
		if at >= duration {
			return out
		}
		out = append(out, drawArrival(rng, mix, at, len(out), seed))
	}
}

// drawArrival draws the class of arrival n by the shares, then its prompt and lengths.
func drawArrival(rng *rand.Rand, mix Mix, at time.Duration, n int, seed uint64) arrival {
	total := 0
	for _, c := range mix.Classes {
		total += c.Share
	}
	pick := rng.IntN(total)
	i := 0
	for pick >= mix.Classes[i].Share {
		pick -= mix.Classes[i].Share
		i++
	}
	c := &mix.Classes[i]
	a := arrival{class: c, at: at}
	if c.Keyed {
		a.key = fmt.Sprintf("%s-%d-%d", c.Name, seed, n)
	}
	if c.Model != "" {
		a.tokens = randomLength(rng, c.Tokens)
		a.prompt = randomPrompt(rng, c, n)
	}
	return a
}

// randomLength draws a length between the bounds; most lengths are near the lower one.
func randomLength(rng *rand.Rand, bounds [2]int) int {
	x := rng.Float64()
	return bounds[0] + int(x*x*x*float64(bounds[1]-bounds[0]))
}

// randomPrompt returns a unique prompt. If the class shares prefixes, it starts with one of them.
func randomPrompt(rng *rand.Rand, c *Class, n int) string {
	length := randomLength(rng, c.PromptBytes)
	begin := fmt.Sprintf("request %d ", n)
	if c.Prefixes > 0 {
		begin = fmt.Sprintf("%s context %d ", c.Name, rng.IntN(c.Prefixes))
	}
	text := begin + strings.Repeat(begin, length/len(begin))
	return fmt.Sprintf("%s request %d", text, n)
}
