package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Scenario is what disturbs a run.
type Scenario string

// Scenarios. All of them have noisy waves of batch work.
const (
	NoisyWaves    Scenario = "noisy-waves"
	WrongSizes    Scenario = "wrong-sizes"
	ZoneLeaves    Scenario = "zone-leaves"
	FailingWorker Scenario = "failing-worker"
	Cancellations Scenario = "cancellations"
	Impossible    Scenario = "impossible-jobs"
)

// Scenarios lists all scenarios in the order of the report.
var Scenarios = []Scenario{NoisyWaves, WrongSizes, ZoneLeaves, FailingWorker, Cancellations, Impossible}

// Times of a run.
const (
	horizon      = 160 * time.Second
	warmup       = 10 * time.Second
	shiftAt      = 90 * time.Second
	wavePeriod   = 40 * time.Second
	waveLength   = 14 * time.Second
	disturbFrom  = 50 * time.Second // in a wave's work
	disturbUntil = 100 * time.Second
	cancelAt     = 60 * time.Second
)

// Shares of the load.
const (
	targetLoad      = 0.7
	waveShare       = 0.45 // of the batch work arrives in waves
	urgentShare     = 0.03
	cancelledShare  = 0.6
	impossibleShare = 0.1
	brokenShare     = 0.05
	maxMisdeclared  = 4.0
	requestSigma    = 0.4
	callersPerTeam  = 8
)

// request is one latency-critical request.
type request struct {
	at       time.Duration
	work     time.Duration
	entry    int
	caller   string
	priority task.Priority
}

// job is one batch job with what is true of it and hidden from the decisions.
type job struct {
	at       time.Duration
	spec     task.Spec
	work     time.Duration // undisturbed run time
	use      resource.Quantity
	broken   bool
	cancelAt time.Duration // zero if it is not cancelled
}

// input is what a run is fed with; equal seeds give equal inputs.
type input struct {
	requests []request
	jobs     []job
}

func newInput(d *Deployment, scenario Scenario, seed uint64) *input {
	in := &input{}
	in.drawRequests(d, rand.New(rand.NewPCG(seed, 1)))
	in.drawJobs(d, scenario, seed)
	return in
}

func (in *input) drawRequests(d *Deployment, random *rand.Rand) {
	team, _ := d.Document.Team(d.Document.Services[0].Team)
	rate := targetLoad * float64(team.RequestsPerSecond)
	for at := warmup; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= horizon {
			return
		}
		work := float64(d.RequestWork) * math.Exp(requestSigma*random.NormFloat64()-requestSigma*requestSigma/2)
		in.requests = append(in.requests, request{
			at: at, work: time.Duration(work), entry: random.IntN(len(d.Document.Entries)),
			caller: fmt.Sprintf("caller-%d", random.IntN(callersPerTeam)), priority: requestPriority(random),
		})
	}
}

func requestPriority(random *rand.Rand) task.Priority {
	switch draw := random.Float64(); {
	case draw < 0.2:
		return task.PriorityUrgent
	case draw < 0.9:
		return task.PriorityNormal
	default:
		return task.PriorityLow
	}
}

// drawJobs draws batch work for the load that services and watches leave.
func (in *input) drawJobs(d *Deployment, scenario Scenario, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	// Disturbances have their own source, so that the other jobs are the same in all scenarios.
	disturb := rand.New(rand.NewPCG(seed, 3))
	service := &d.Document.Services[0]
	processors := float64(d.Size.MilliCPU) / milliPerProcessor
	fixed := float64(service.Replicas)*float64(service.Size.MilliCPU)/milliPerProcessor + float64(d.Watches)
	demand := targetLoad*workerCount*processors - fixed // processors
	const meanRun, meanSize = 20.0, 0.2                 // seconds; share of a worker
	rate := demand / (meanRun * meanSize * processors)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (rate * 2) * float64(time.Second))
		if at >= horizon {
			return
		}
		inWave := at%wavePeriod < waveLength
		accept := (1 - waveShare) / 2
		if inWave {
			accept += waveShare / 2 * float64(wavePeriod) / float64(waveLength)
		}
		if random.Float64() >= accept {
			continue
		}
		in.jobs = append(in.jobs, in.drawJob(d, scenario, at, inWave, random, disturb))
	}
}

func (in *input) drawJob(d *Deployment, scenario Scenario, at time.Duration, inWave bool, random, disturb *rand.Rand) job {
	class := d.Classes[1+random.IntN(len(d.Classes)-1)]
	if inWave && random.Float64() < 0.7 {
		class = d.Classes[0]
	}
	share := 0.05 + 0.3*random.Float64()
	use := resource.Quantity{
		MilliCPU:    int64(share * float64(d.Size.MilliCPU)),
		MemoryBytes: int64(share * (0.5 + 0.5*random.Float64()) * float64(d.Size.MemoryBytes)),
	}
	work := time.Duration((5 + 30*random.Float64()) * float64(time.Second))
	priority := task.PriorityNormal
	if random.Float64() < urgentShare {
		priority = task.PriorityUrgent
	}
	j := job{at: at, work: work, use: use, spec: task.Spec{
		Name: fmt.Sprintf("job-%05d", len(in.jobs)), Kind: task.KindBatch, Team: d.BatchTeam, Class: class,
		Priority: priority, Size: use, ExpectedRunTime: work,
	}}
	j.disturb(d, scenario, disturb)
	return j
}

func (j *job) disturb(d *Deployment, scenario Scenario, random *rand.Rand) {
	switch scenario {
	case WrongSizes:
		size := math.Pow(maxMisdeclared, 2*random.Float64()-1)
		run := math.Pow(maxMisdeclared, 2*random.Float64()-1)
		j.spec.Size.MilliCPU = min(int64(float64(j.use.MilliCPU)*size), d.Size.MilliCPU)
		j.spec.Size.MemoryBytes = min(int64(float64(j.use.MemoryBytes)*size), d.Size.MemoryBytes)
		j.spec.ExpectedRunTime = time.Duration(float64(j.work) * run)
	case Cancellations:
		if j.at < cancelAt && random.Float64() < cancelledShare {
			j.cancelAt = cancelAt + time.Duration(random.Float64()*float64(2*time.Second))
		}
	case Impossible:
		draw := random.Float64()
		if draw < impossibleShare {
			j.spec.Size.MilliCPU = 2 * d.Size.MilliCPU
		}
		j.broken = draw >= impossibleShare && draw < impossibleShare+brokenShare
	}
}
