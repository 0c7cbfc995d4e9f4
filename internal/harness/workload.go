package harness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"briaryard/internal/model"
)

// Class describes one kind of request.
type Class struct {
	Tier     model.Tier
	Share    float64
	Prompt   [2]int // log-uniform range in tokens
	Output   [2]int
	Deadline time.Duration
	// Prefixes is the number of different shared prefixes, each of which covers SharedHashes
	// prefix hashes.
	Prefixes, SharedHashes int
}

// Workload describes the engines, instances, teams and requests of a deployment.
type Workload struct {
	Name                        string
	Engines, Domains, Instances int
	// Delay is the time that one message takes.
	Delay time.Duration
	// Weights holds the scheduling weight of each team.
	Weights []float64
	// Demand is the relative share of each team in the offered load.
	Demand  []float64
	Classes []Class
}

// WorkloadA is the workload of the footwear office: urgent chats, fitting notes and summaries.
func WorkloadA() Workload {
	return Workload{
		Name: "A", Engines: 12, Domains: 3, Instances: 12, Delay: 500 * time.Microsecond,
		Weights: []float64{4, 3, 1, 1, 1}, Demand: []float64{4, 3, 1, 1, 1},
		Classes: []Class{
			{model.Urgent, 0.25, [2]int{40, 600}, [2]int{20, 120}, 6 * time.Second, 20, 1},
			{model.Interactive, 0.25, [2]int{40, 800}, [2]int{30, 200}, 15 * time.Second, 20, 1},
			{model.Standard, 0.30, [2]int{300, 3000}, [2]int{100, 600}, 40 * time.Second, 10, 2},
			{model.Batch, 0.20, [2]int{800, 6000}, [2]int{100, 800}, 60 * time.Second, 10, 3},
		},
	}
}

// WorkloadB is the workload of the violin workshop: long proposals with shared prefixes, short
// assessments and streamed chats.
func WorkloadB() Workload {
	return Workload{
		Name: "B", Engines: 9, Domains: 4, Instances: 12, Delay: 1500 * time.Microsecond,
		Weights: []float64{4, 3, 1, 1, 1}, Demand: []float64{4, 3, 1, 1, 1},
		Classes: []Class{
			{model.Urgent, 0.30, [2]int{40, 500}, [2]int{20, 120}, 6 * time.Second, 20, 1},
			{model.Interactive, 0.35, [2]int{40, 300}, [2]int{10, 60}, 15 * time.Second, 20, 1},
			{model.Standard, 0.25, [2]int{2500, 8000}, [2]int{300, 1200}, 45 * time.Second, 12, 6},
			{model.Batch, 0.10, [2]int{2500, 8000}, [2]int{300, 1200}, 70 * time.Second, 12, 6},
		},
	}
}

// Scaled returns the workload with the numbers of engines and instances multiplied.
func (w Workload) Scaled(by int) Workload {
	w.Engines *= by
	w.Instances *= by
	return w
}

const (
	// basePrefillRate and baseDecodeRate are the tokens per second of the first generation.
	basePrefillRate = 6000.0
	baseDecodeRate  = 900.0
	// slots is the batch size of an engine.
	slots = 16
)

// generationSpeed is the relative speed of the three hardware generations.
var generationSpeed = [3]float64{1, 1.5, 2.2}

// logUniformMean returns the mean of a log-uniform distribution over a range.
func logUniformMean(r [2]int) float64 {
	return float64(r[1]-r[0]) / math.Log(float64(r[1])/float64(r[0]))
}

// Capacity returns the requests per second that all engines can answer without cache hits.
func (w *Workload) Capacity() float64 {
	work := 0.0
	for _, c := range w.Classes {
		decode := baseDecodeRate * slots / (slots + halfRateStreams)
		work += c.Share * (logUniformMean(c.Prompt)/basePrefillRate + logUniformMean(c.Output)/decode)
	}
	speed := 0.0
	for i := range w.Engines {
		speed += generationSpeed[i%3]
	}
	return speed / work
}

// job is one attempt of a caller's request.
type job struct {
	desc         model.Descriptor
	outputTokens int
	firstArrival time.Time // arrival of the first attempt of the request
	// retries is the number of earlier attempts of the request.
	retries int

	engine     *engine
	grant      model.Grant
	sent       time.Time
	firstToken time.Time
	// prefillLeft and prefillDone count prompt tokens.
	prefillLeft float64
	prefillDone float64
	// decodeTarget is the value of decodedPerStream at which the answer is complete.
	decodeTarget float64
	prefilling   bool
	ended        bool
}

// drawRequest returns a request of a random class and team.
func (w *Workload) drawRequest(r *rand.Rand, now time.Time, seq uint64) *job {
	c := &w.Classes[weightedIndex(r, len(w.Classes), func(i int) float64 { return w.Classes[i].Share })]
	team := weightedIndex(r, len(w.Demand), func(i int) float64 { return w.Demand[i] })
	logUniform := func(b [2]int) int {
		return int(float64(b[0]) * math.Exp(r.Float64()*math.Log(float64(b[1])/float64(b[0]))))
	}
	j := &job{firstArrival: now, outputTokens: logUniform(c.Output)}
	j.desc = model.Descriptor{
		ID:   model.RequestID{Instance: model.InstanceID(fmt.Sprint("i", r.IntN(w.Instances))), Incarnation: 1, Seq: seq},
		Pool: "m", Team: model.TeamID(fmt.Sprint("t", team)), Tier: c.Tier, Arrived: now,
		Deadline: now.Add(c.Deadline), PromptTokens: logUniform(c.Prompt),
		// The output limit of a caller is a rough estimate of the length of the answer.
		OutputTokens: int(float64(j.outputTokens) * (0.7 + 0.6*r.Float64())),
	}
	shared := r.IntN(c.Prefixes)
	for i := 0; model.PrefixTokens(i) <= j.desc.PromptTokens; i++ {
		hash := uint64(c.Tier)<<56 | uint64(shared)<<40 | uint64(i)<<32
		if i >= c.SharedHashes {
			hash |= seq & 0xffffffff
		}
		j.desc.Prefix = append(j.desc.Prefix, hash)
	}
	return j
}

// weightedIndex returns a random index with probabilities in proportion to the weights.
func weightedIndex(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}
