package verbs

import (
	"context"
	"fmt"
	"slices"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Return is the verb return: it returns a data centre or an endpoint to service.
type Return struct {
	DataCentre ReturnDataCentre `cmd:"" name:"data_centre" help:"Return a data centre to service."`
	Endpoint   ReturnEndpoint   `cmd:"" help:"Return a worker's endpoint to service."`
}

// ReturnDataCentre is the verb return data_centre.
type ReturnDataCentre struct {
	Publishing
	Name string `arg:"" help:"Name of the data centre."`
}

// Run publishes that the data centre is in service, so that tasks may start there.
func (v *ReturnDataCentre) Run(ctx context.Context, out *Output) error {
	return v.setInService(ctx, out, v.Name, true)
}

// ReturnEndpoint is the verb return endpoint.
type ReturnEndpoint struct {
	Publishing
	Worker string `arg:"" help:"Name of the worker."`
}

// Run publishes that the worker's endpoint is not draining, so that it gets work
// again.
func (v *ReturnEndpoint) Run(ctx context.Context, out *Output) error {
	base, _, err := v.fetchConfig(ctx)
	if err != nil {
		return err
	}
	for name, dc := range decl.All[*wire.DataCentre](base) {
		if !slices.Contains(dc.GetDrainingEndpoints(), v.Worker) {
			continue
		}
		return v.updateDataCentre(ctx, out, base, name, func(dc *wire.DataCentre) {
			dc.DrainingEndpoints = slices.DeleteFunc(dc.DrainingEndpoints, func(w string) bool { return w == v.Worker })
		})
	}
	return &exitError{code: exitUsage, err: fmt.Errorf("no data centre drains the endpoint of worker %q", v.Worker)}
}
