package main

import (
	"time"

	"clementineflow/internal/resource"
)

const gigabyte = 1_000_000_000

// deployment holds the sizes of section 1.1 of docs/design.md and a load that fits them.
type deployment struct {
	region string
	// layout holds the number of workers per zone; three workers share a rack.
	layout []zoneLayout
	size   resource.Quantity
	// service gets requests from requestTeam at the rate, in requests per second.
	service, requestTeam string
	rate                 int
	serviceTime          time.Duration
	objective            time.Duration
	batchTeam            string
	batchClass           string
	jobSize              resource.Quantity
	watchTeam            string
	watchClass           string
	watches              int
	watch                resource.Quantity
}

type zoneLayout struct {
	zone    string
	workers int
}

// Sizes of a worker in every deployment.
const (
	slots          = 8
	connections    = 64
	workersPerRack = 3
)

var deployments = []deployment{
	{
		region:  "bc-coast",
		layout:  []zoneLayout{{"burnaby", 3}, {"surrey", 3}, {"nanaimo", 3}, {"kamloops", 2}},
		size:    resource.Quantity{MilliCPU: 16_000, MemoryBytes: 60 * gigabyte},
		service: "filter-tracking", requestTeam: "depot-dispatch", rate: 120,
		serviceTime: 20 * time.Millisecond, objective: 80 * time.Millisecond,
		batchTeam: "fleet-accounts", batchClass: "bake-cycle", jobSize: resource.Quantity{MilliCPU: 2_000, MemoryBytes: 6 * gigabyte},
		watchTeam: "shop-floor", watchClass: "kiln-monitor", watches: 12,
		watch: resource.Quantity{MilliCPU: 1_000, MemoryBytes: 2 * gigabyte},
	},
	{
		region:  "mu-island",
		layout:  []zoneLayout{{"port-louis", 4}, {"curepipe", 4}, {"grand-baie", 3}},
		size:    resource.Quantity{MilliCPU: 32_000, MemoryBytes: 125 * gigabyte},
		service: "rail-fitting", requestTeam: "fitters", rate: 180,
		serviceTime: 10 * time.Millisecond, objective: 40 * time.Millisecond,
		batchTeam: "planning", batchClass: "bend-plan", jobSize: resource.Quantity{MilliCPU: 4_000, MemoryBytes: 12 * gigabyte},
		watchTeam: "compliance", watchClass: "compliance-watch", watches: 10,
		watch: resource.Quantity{MilliCPU: 1_000, MemoryBytes: 2 * gigabyte},
	},
}
