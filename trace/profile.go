package trace

import (
	"time"

	"catkinpoint/place"
)

// kind is a job class with the distribution of what its jobs really do.
type kind struct {
	Class
	median time.Duration // of the actual run time
	tail   float64       // sigma of the log-normal distribution
	share  float64       // of the jobs outside bursts
	owners []string      // customers that submit it
	large  bool          // arrives in bursts of large jobs
}

// profile is what the generator knows about a deployment.
type profile struct {
	dataCentres []DataCentre
	customers   []place.Customer
	kinds       []kind
}

func dataCentre(name, region string, workers int, guarantees ...place.Guarantee) DataCentre {
	return DataCentre{
		Name: name, Region: region, Workers: workers,
		Accelerators: 8, Slots: 8, WorkersPerRack: 3, Guarantees: guarantees,
	}
}

func guarantee(name, customer string, accelerators int, adjacency place.Adjacency, count int) place.Guarantee {
	return place.Guarantee{
		Name: name, Customer: customer, Accelerators: accelerators,
		Adjacency: adjacency, Count: count, ReclaimWithin: 30 * time.Second,
	}
}

// kivilaud has mostly short jobs; the mean completion time matters most.
func kivilaud() profile {
	return profile{
		dataCentres: []DataCentre{
			dataCentre("tallinn-north", "harju", 5,
				guarantee("ravi_north", "ravi", 8, place.SameWorker, 1),
				guarantee("paas_north", "paas", 16, place.SameRack, 1)),
			dataCentre("keila", "harju", 3, guarantee("paas_keila", "paas", 8, place.SameWorker, 1)),
			dataCentre("tartu-ice", "tartu", 3, guarantee("lubi_tartu", "lubi", 8, place.SameWorker, 1)),
		},
		customers: []place.Customer{
			{Name: "ravi", Weight: 2},
			{Name: "paas", Weight: 2},
			{Name: "lubi", Weight: 1, Quota: 48},
			{Name: "kruus", Weight: 1, Quota: 32},
		},
		kinds: []kind{
			{
				Class: Class{
					Name: "scan", Tasks: 1, Accelerators: 1, Declared: 2 * time.Minute, Idempotent: true,
					StopTime: 2 * time.Second,
				},
				median: 40 * time.Second, tail: 1.2, share: 0.5, owners: []string{"ravi", "ravi", "lubi", "kruus"},
			},
			{
				Class:  Class{Name: "alarm", Tasks: 1, Accelerators: 1, Declared: time.Minute, Idempotent: true, Urgent: true},
				median: 15 * time.Second, tail: 0.8, share: 0.06, owners: []string{"ravi"},
			},
			{
				Class: Class{
					Name: "fit", Tasks: 1, Accelerators: 4, Declared: 5 * time.Minute, Checkpointable: true,
					StopTime: 5 * time.Second, CheckpointEvery: 5 * time.Minute,
				},
				median: 12 * time.Minute, tail: 1.3, share: 0.18, owners: []string{"lubi", "paas", "kruus"},
			},
			{
				Class:  Class{Name: "render", Tasks: 1, Accelerators: 2, Declared: 20 * time.Minute, Idempotent: true},
				median: 4 * time.Minute, tail: 1, share: 0.2, owners: []string{"paas", "kruus"},
			},
			{
				Class: Class{
					Name: "train", Tasks: 2, Accelerators: 8, Adjacency: place.SameRack, Declared: 30 * time.Minute,
					Checkpointable: true, StopTime: 15 * time.Second, CheckpointEvery: 10 * time.Minute,
				},
				median: 35 * time.Minute, tail: 0.9, share: 0.06, owners: []string{"paas", "paas", "ravi"}, large: true,
			},
		},
	}
}

// bancClair has large gangs that starve behind small jobs.
func bancClair() profile {
	return profile{
		dataCentres: []DataCentre{
			dataCentre("limoilou", "quebec-capitale", 5, guarantee("voute_limoilou", "voute", 16, place.SameRack, 1)),
			dataCentre("sainte-foy", "quebec-capitale", 3, guarantee("nef_foy", "nef", 8, place.SameWorker, 1)),
			dataCentre("hochelaga", "montreal-est", 3, guarantee("voute_hochelaga", "voute", 8, place.SameWorker, 1)),
		},
		customers: []place.Customer{
			{Name: "voute", Weight: 3},
			{Name: "nef", Weight: 2},
			{Name: "vitrail", Weight: 1, Quota: 40},
			{Name: "cloche", Weight: 1, Quota: 24},
		},
		kinds: []kind{
			{
				Class:  Class{Name: "releve", Tasks: 1, Accelerators: 1, Declared: 30 * time.Minute, Idempotent: true},
				median: 5 * time.Minute, tail: 1.3, share: 0.45, owners: []string{"vitrail", "cloche", "nef"},
			},
			{
				Class:  Class{Name: "secours", Tasks: 1, Accelerators: 2, Declared: 5 * time.Minute, Idempotent: true, Urgent: true},
				median: time.Minute, tail: 0.8, share: 0.05, owners: []string{"nef"},
			},
			{
				Class: Class{
					Name: "modele", Tasks: 1, Accelerators: 3, Declared: 10 * time.Minute, Checkpointable: true,
					StopTime: 10 * time.Second, CheckpointEvery: 10 * time.Minute,
				},
				median: 25 * time.Minute, tail: 1, share: 0.28, owners: []string{"vitrail", "cloche", "nef"},
			},
			{
				Class: Class{
					Name: "restauration", Tasks: 2, Accelerators: 8, Adjacency: place.SameRack, Declared: 2 * time.Hour,
					Checkpointable: true, StopTime: 20 * time.Second, CheckpointEvery: 15 * time.Minute,
				},
				median: 40 * time.Minute, tail: 0.8, share: 0.08, owners: []string{"voute", "voute", "nef"}, large: true,
			},
			{
				Class: Class{
					Name: "rosace", Tasks: 3, Accelerators: 8, Adjacency: place.SameRack, Declared: time.Hour,
				},
				median: 30 * time.Minute, tail: 0.6, share: 0.03, owners: []string{"voute"}, large: true,
			},
			{
				Class: Class{
					Name: "ensemble", Tasks: 4, Accelerators: 2, Adjacency: place.SameDataCentre, Declared: 20 * time.Minute,
					Checkpointable: true, StopTime: 10 * time.Second, CheckpointEvery: 10 * time.Minute,
				},
				median: 20 * time.Minute, tail: 1, share: 0.11, owners: []string{"nef", "vitrail"},
			},
		},
	}
}
