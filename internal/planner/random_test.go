package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Whatever hosts report and whichever replicas come and go, the planner must neither panic nor lose count of what runs on
// its servers.
func TestPlannerSurvivesAnyReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New(0)
		engines := map[string]*catalog.EngineParams{"llm": testEngine}
		now := start
		var plans []Placement
		setReplicas := func() {
			var list []replica.Replica
			for i := range rapid.IntRange(0, 6).Draw(rt, "replicas") {
				list = append(list, replica.Replica{
					ID: fmt.Sprint("r", i), Service: rapid.SampledFrom([]string{"llm", "llm", "llm", "desk"}).Draw(rt, "service"),
					Slots: 4, Born: int64(rapid.IntRange(0, 1).Draw(rt, "born")),
				})
			}
			p.SetReplicas(now, list)
		}
		p.SetEngines(engines)
		setReplicas()
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			var placed Placement
			if len(plans) > 0 {
				placed = rapid.SampledFrom(plans).Draw(rt, "placed")
			}
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1:
				p.Submit(now, shortRequest(i))
			case 2, 3:
				p.Submit(now, longRequest(i))
			case 4:
				p.Submit(now, Request{ID: fmt.Sprint("d", i), Host: "h", Service: "desk", Deadline: time.Second})
			case 5:
				p.Started(now, "h", placed.Request.ID)
			case 6:
				p.Ended(now, "h", placed.Request.ID, OutcomeCompleted)
			case 7:
				var reported []Placement
				for _, placement := range plans {
					if rapid.Bool().Draw(rt, "reported") {
						placement.Decoding = rapid.Bool().Draw(rt, "decoding")
						placement.FirstEvent = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "first")) * time.Millisecond
						reported = append(reported, placement)
					}
				}
				p.ReplaceHost(now, "h", reported)
			case 8:
				setReplicas()
			case 9:
				if rapid.Bool().Draw(rt, "engines") {
					p.SetEngines(engines)
				} else {
					p.SetEngines(nil)
				}
			}
			for _, result := range p.Decide(now) {
				if result.Plan == nil {
					continue
				}
				req := shortRequest(0)
				switch result.ID[0] {
				case 'l':
					req = longRequest(0)
				case 'd':
					req = Request{Host: "h", Service: "desk", Deadline: time.Second}
				}
				req.ID = result.ID
				plans = append(plans, Placement{Request: req, Replica: result.Plan.Replica.ID, Helpers: result.Plan.Helpers})
			}
		}
		p.RemoveHost(now, "h")
		for _, servers := range p.services {
			for _, s := range servers {
				if s.usedTokens != 0 || s.helperJobs != 0 || len(s.jobs) != 0 || s.shortJobs != 0 {
					rt.Fatalf("%s still counts requests", s.replica.ID)
				}
			}
		}
	})
}
