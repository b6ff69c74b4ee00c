package trace

import (
	"time"

	"catkinpoint/place"
)

// classProfile is a job class with the distribution of its jobs. Actual run times
// have a log-normal distribution.
type classProfile struct {
	Class
	median    time.Duration // of the run time
	sigma     float64       // standard deviation of the logarithm of the run time
	share     float64       // of the jobs outside bursts
	customers []string      // drawn with equal chances; names may repeat
	large     bool          // belongs to bursts of large jobs, not of small ones
}

// deploymentProfile describes a deployment and its workload to the generator.
type deploymentProfile struct {
	dataCentres []DataCentre
	customers   []place.Customer
	classes     []classProfile
}

func newDataCentre(name, region string, workers int, guarantees ...place.Guarantee) DataCentre {
	return DataCentre{
		Name: name, Region: region, Workers: workers,
		AcceleratorsPerWorker: 8, SlotsPerWorker: 8, WorkersPerRack: 3, Guarantees: guarantees,
	}
}

func newGuarantee(name, customer string, accelerators int, adjacency place.Adjacency, count int) place.Guarantee {
	return place.Guarantee{
		Name: name, Customer: customer, Accelerators: accelerators,
		Adjacency: adjacency, Count: count, ReclaimWithin: 30 * time.Second,
	}
}

// kivilaud returns the profile of a deployment with mostly short jobs, for which
// the mean completion time matters most.
func kivilaud() deploymentProfile {
	return deploymentProfile{
		dataCentres: []DataCentre{
			newDataCentre("tallinn-north", "harju", 5,
				newGuarantee("ravi_north", "ravi", 8, place.SameWorker, 1),
				newGuarantee("paas_north", "paas", 16, place.SameRack, 1)),
			newDataCentre("keila", "harju", 3, newGuarantee("paas_keila", "paas", 8, place.SameWorker, 1)),
			newDataCentre("tartu-ice", "tartu", 3, newGuarantee("lubi_tartu", "lubi", 8, place.SameWorker, 1)),
		},
		customers: []place.Customer{
			{Name: "ravi", Weight: 2},
			{Name: "paas", Weight: 2},
			{Name: "lubi", Weight: 1, Quota: 48},
			{Name: "kruus", Weight: 1, Quota: 32},
		},
		classes: []classProfile{
			{
				Class: Class{
					Name: "scan", Tasks: 1, Accelerators: 1, ExpectedRunTime: 2 * time.Minute, Idempotent: true,
					StopTime: 2 * time.Second,
				},
				median: 40 * time.Second, sigma: 1.2, share: 0.5, customers: []string{"ravi", "ravi", "lubi", "kruus"},
			},
			{
				Class:  Class{Name: "alarm", Tasks: 1, Accelerators: 1, ExpectedRunTime: time.Minute, Idempotent: true, Urgent: true},
				median: 15 * time.Second, sigma: 0.8, share: 0.06, customers: []string{"ravi"},
			},
			{
				Class: Class{
					Name: "fit", Tasks: 1, Accelerators: 4, ExpectedRunTime: 5 * time.Minute, Checkpointable: true,
					StopTime: 5 * time.Second, CheckpointInterval: 5 * time.Minute,
				},
				median: 12 * time.Minute, sigma: 1.3, share: 0.18, customers: []string{"lubi", "paas", "kruus"},
			},
			{
				Class:  Class{Name: "render", Tasks: 1, Accelerators: 2, ExpectedRunTime: 20 * time.Minute, Idempotent: true},
				median: 4 * time.Minute, sigma: 1, share: 0.2, customers: []string{"paas", "kruus"},
			},
			{
				Class: Class{
					Name: "train", Tasks: 2, Accelerators: 8, Adjacency: place.SameRack, ExpectedRunTime: 30 * time.Minute,
					Checkpointable: true, StopTime: 15 * time.Second, CheckpointInterval: 10 * time.Minute,
				},
				median: 35 * time.Minute, sigma: 0.9, share: 0.06, customers: []string{"paas", "paas", "ravi"}, large: true,
			},
		},
	}
}

// bancClair returns the profile of a deployment with large gangs, which small jobs
// can starve.
func bancClair() deploymentProfile {
	return deploymentProfile{
		dataCentres: []DataCentre{
			newDataCentre("limoilou", "quebec-capitale", 5, newGuarantee("voute_limoilou", "voute", 16, place.SameRack, 1)),
			newDataCentre("sainte-foy", "quebec-capitale", 3, newGuarantee("nef_foy", "nef", 8, place.SameWorker, 1)),
			newDataCentre("hochelaga", "montreal-est", 3, newGuarantee("voute_hochelaga", "voute", 8, place.SameWorker, 1)),
		},
		customers: []place.Customer{
			{Name: "voute", Weight: 3},
			{Name: "nef", Weight: 2},
			{Name: "vitrail", Weight: 1, Quota: 40},
			{Name: "cloche", Weight: 1, Quota: 24},
		},
		classes: []classProfile{
			{
				Class:  Class{Name: "releve", Tasks: 1, Accelerators: 1, ExpectedRunTime: 30 * time.Minute, Idempotent: true},
				median: 5 * time.Minute, sigma: 1.3, share: 0.45, customers: []string{"vitrail", "cloche", "nef"},
			},
			{
				Class:  Class{Name: "secours", Tasks: 1, Accelerators: 2, ExpectedRunTime: 5 * time.Minute, Idempotent: true, Urgent: true},
				median: time.Minute, sigma: 0.8, share: 0.05, customers: []string{"nef"},
			},
			{
				Class: Class{
					Name: "modele", Tasks: 1, Accelerators: 3, ExpectedRunTime: 10 * time.Minute, Checkpointable: true,
					StopTime: 10 * time.Second, CheckpointInterval: 10 * time.Minute,
				},
				median: 25 * time.Minute, sigma: 1, share: 0.28, customers: []string{"vitrail", "cloche", "nef"},
			},
			{
				Class: Class{
					Name: "restauration", Tasks: 2, Accelerators: 8, Adjacency: place.SameRack, ExpectedRunTime: 2 * time.Hour,
					Checkpointable: true, StopTime: 20 * time.Second, CheckpointInterval: 15 * time.Minute,
				},
				median: 40 * time.Minute, sigma: 0.8, share: 0.08, customers: []string{"voute", "voute", "nef"}, large: true,
			},
			{
				Class: Class{
					Name: "rosace", Tasks: 3, Accelerators: 8, Adjacency: place.SameRack, ExpectedRunTime: time.Hour,
				},
				median: 30 * time.Minute, sigma: 0.6, share: 0.03, customers: []string{"voute"}, large: true,
			},
			{
				Class: Class{
					Name: "ensemble", Tasks: 4, Accelerators: 2, Adjacency: place.SameDataCentre, ExpectedRunTime: 20 * time.Minute,
					Checkpointable: true, StopTime: 10 * time.Second, CheckpointInterval: 10 * time.Minute,
				},
				median: 20 * time.Minute, sigma: 1, share: 0.11, customers: []string{"nef", "vitrail"},
			},
		},
	}
}
