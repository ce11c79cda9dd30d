package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText prints means per variant, ratios to the baselines with their spread, and the scores.
func (s *Suite) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for index := range s.Options.Deployments {
		d := &s.Options.Deployments[index]
		for _, scenario := range s.Options.Scenarios {
			s.writeScenario(table, d, scenario)
		}
	}
	return table.Flush()
}

func (s *Suite) writeScenario(w io.Writer, d *Deployment, scenario Scenario) {
	_, _ = fmt.Fprintf(w, "\n%s, %s: means over %d seeds\n%s\n", d.Name, scenario, s.Options.Seeds, header("variant"))
	for _, variant := range s.Options.variants(scenario) {
		row := s.row(d.Name, scenario, variant.Name)
		cells := []string{variant.Name}
		for _, m := range measures {
			cells = append(cells, fmt.Sprintf(m.format, row.mean(m.value)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	own := s.row(d.Name, scenario, NameProduct)
	evicting := s.row(d.Name, scenario, NameEvictFirst)
	_, _ = fmt.Fprintf(w, "ratios: median (lowest-highest) over the seeds\n%s\tscore\n", header("product to"))
	for _, name := range []string{NameRandom, NameLeast, NameEvictFirst} {
		base := s.row(d.Name, scenario, name)
		cells := []string{name}
		for _, m := range measures {
			cells = append(cells, s.cell(own, base, m))
		}
		cells = append(cells, s.score(own, base, evicting, d).String())
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if scenario == ZoneLeaves {
		s.writeZoneWork(w, d)
	}
}

// cell returns a ratio, or a dash where the baseline has nothing to compare with.
func (s *Suite) cell(own, base *Row, m measure) string {
	if base.mean(m.value) == 0 {
		return "-"
	}
	return own.ratio(base, m.value).String()
}

// writeZoneWork prints the work done while the zone is out relative to the same time without.
func (s *Suite) writeZoneWork(w io.Writer, d *Deployment) {
	_, _ = fmt.Fprintln(w, "work while the zone is out relative to the same time without")
	for _, variant := range Compared {
		with, without := s.row(d.Name, ZoneLeaves, variant.Name), s.row(d.Name, NoisyWaves, variant.Name)
		if without == nil {
			continue
		}
		window := func(f *Figures) float64 { return f.WindowCoreSeconds }
		_, _ = fmt.Fprintf(w, "%s\t%s\n", variant.Name, with.ratio(without, window))
	}
	_, _ = fmt.Fprintf(w, "processors that remain\t%.2f\n", d.remaining())
}

// remaining returns the share of the workers outside the zone that leaves.
func (d *Deployment) remaining() float64 {
	count := 0
	for _, w := range d.newWorkers() {
		if w.zone != d.Document.Zones[zoneLost].Name {
			count++
		}
	}
	return float64(count) / workerCount
}

func header(first string) string {
	cells := []string{first}
	for _, m := range measures {
		cells = append(cells, m.name)
	}
	return strings.Join(cells, "\t")
}
