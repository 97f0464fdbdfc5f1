package interference_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// sampleInterval is the time between two samples of a task.
const sampleInterval = 700 * time.Millisecond

// Guards against attributing a slowdown to a harmless image because it often runs next to a harmful one.
func TestHarmlessImageKeepsLowWeight(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := interference.NewPressureModel()
	now := time.Unix(0, 0)
	load := interference.NewLoadEstimate(now)
	for range 3000 {
		now = now.Add(sampleInterval)
		usage := interference.CPUUsage{}
		if random.IntN(2) == 0 {
			usage["harmful"] = 0.05 + 0.1*random.Float64()
		}
		if random.IntN(3) > 0 {
			usage["harmless"] = 0.05 + 0.1*random.Float64()
		}
		own := 0.35 + 0.1*random.Float64()
		p.Observe(now, "serving", load, 0.222/(1-min(own+2.5*usage["harmful"], 0.98)), usage)
	}
	assert.Assert(t, p.Weight("harmful", "serving") > 2, "weight %f", p.Weight("harmful", "serving"))
	assert.Assert(t, p.Weight("harmless", "serving") < 0.5, "weight %f", p.Weight("harmless", "serving"))
	assert.Assert(t, load.At(now) > 0.3 && load.At(now) < 0.5, "load %f", load.At(now))
}

// Guards against a weight that stays high after an image has become harmless, which would exclude it from suitable
// workers. Every other sample is taken without the best-effort task, since constant CPU usage cannot be distinguished
// from the load of the serving task.
func TestWeightFollowsImageThatBecomesHarmless(t *testing.T) {
	p := interference.NewPressureModel()
	usage := interference.CPUUsage{"best-effort": 0.1}
	now := time.Unix(0, 0)
	load := interference.NewLoadEstimate(now)
	observe := func(samples int, tail float64) {
		for range samples {
			now = now.Add(sampleInterval)
			p.Observe(now, "serving", load, 0.38, nil)
			p.Observe(now, "serving", load, tail, usage)
		}
	}
	observe(20, 2)
	assert.Assert(t, p.Weight("best-effort", "serving") > 3, "weight %f", p.Weight("best-effort", "serving"))
	observe(200, 0.4)
	assert.Assert(t, p.Weight("best-effort", "serving") < 1, "weight %f", p.Weight("best-effort", "serving"))
}

func TestSampleWithoutMeasurementIsIgnored(t *testing.T) {
	p := interference.NewPressureModel()
	now := time.Unix(0, 0)
	load := interference.NewLoadEstimate(now)
	p.Observe(now, "serving", load, 0, interference.CPUUsage{"best-effort": 0.5})
	assert.Equal(t, load.At(now), interference.InitialLoad)
	assert.Equal(t, p.Weight("best-effort", "serving"), interference.NewPressureModel().Weight("best-effort", "serving"))
}

// Guards against a load estimate that lags, so that load variations are attributed to neighbours and harm is recognised
// too late. The load varies by half of its mean within ten seconds, and the tasks of a step on several workers are
// samples of the same load.
func TestLoadVariationIsNotAttributedToNeighbours(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	p := interference.NewPressureModel()
	now := time.Unix(0, 0)
	load := interference.NewLoadEstimate(now)
	weights := map[string]float64{"mild": 0.15, "harmful": 2.8}
	maxLoadError := 0.0
	for i := range 600 {
		now = now.Add(sampleInterval / 6)
		own := 0.42 + 0.21*math.Sin(2*math.Pi*now.Sub(time.Unix(0, 0)).Seconds()/10)
		usage := interference.CPUUsage{}
		switch i % 6 {
		case 0, 1, 2:
			usage["mild"] = 0.4
		case 3:
			usage["harmful"] = 0.08
		}
		tail := 0.222 / (1 - min(own+weights["mild"]*usage["mild"]+weights["harmful"]*usage["harmful"], 0.98))
		p.Observe(now, "serving", load, tail*(1+0.1*random.NormFloat64()), usage)
		if i > 60 {
			maxLoadError = max(maxLoadError, math.Abs(load.At(now)-own))
		}
	}
	assert.Assert(t, maxLoadError < 0.12, "load error %f", maxLoadError)
	assert.Assert(t, p.Weight("mild", "serving") < 0.4, "weight %f", p.Weight("mild", "serving"))
	assert.Assert(t, p.Weight("harmful", "serving") > 2, "weight %f", p.Weight("harmful", "serving"))
}

// Guards against an owner that does not use another owner's estimates, so that its serving tasks are slowed down until
// it has its own, and against replacing estimates that are more certain than the imported ones.
func TestImportTakesOnlyMoreCertainEstimates(t *testing.T) {
	now := time.Unix(0, 0)
	exporter, importer := interference.NewPressureModel(), interference.NewPressureModel()
	addSamples := func(p *interference.PressureModel, weight float64, samples int) {
		load := interference.NewLoadEstimate(now)
		for range samples {
			now = now.Add(sampleInterval)
			p.Observe(now, "serving", load, 0.222/(1-0.42), nil)
			p.Observe(now, "serving", load, 0.222/(1-0.42-0.1*weight), interference.CPUUsage{"best-effort": 0.1})
		}
	}
	addSamples(exporter, 2.8, 40)
	assert.Equal(t, importer.ImportWeights(now, exporter.ExportWeights(now)), 1)
	assert.Assert(t, importer.Weight("best-effort", "serving") > 2, "weight %f", importer.Weight("best-effort", "serving"))
	assert.Equal(t, importer.ImportWeights(now, exporter.ExportWeights(now)), 0, "the same estimates are not imported again")
	addSamples(importer, 0.2, 80)
	assert.Equal(t, importer.ImportWeights(now, exporter.ExportWeights(now)), 0, "the more certain local estimate is kept")
}
