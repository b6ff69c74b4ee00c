package verbs

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Drain is the verb drain: it takes a data centre or an endpoint out of service.
type Drain struct {
	DataCentre DrainDataCentre `cmd:"" name:"data_centre" help:"Take a data centre out of service."`
	Endpoint   DrainEndpoint   `cmd:"" help:"Start the graceful shutdown of a worker's endpoint."`
}

// DrainDataCentre is the verb drain data_centre.
type DrainDataCentre struct {
	Publishing
	Name string `arg:"" help:"Name of the data centre."`
}

// Run publishes that the data centre is out of service, so that no task starts there.
func (v *DrainDataCentre) Run(ctx context.Context, out *Output) error {
	return v.setInService(ctx, out, v.Name, false)
}

// DrainEndpoint is the verb drain endpoint.
type DrainEndpoint struct {
	Publishing
	Worker     string `arg:"" help:"Name of the worker."`
	DataCentre string `name:"data-centre" placeholder:"NAME" help:"Data centre of the worker; needed if there are several."`
}

// Run publishes that the worker's endpoint is draining, so that it gets no new work.
func (v *DrainEndpoint) Run(ctx context.Context, out *Output) error {
	base, _, err := v.fetchConfig(ctx)
	if err != nil {
		return err
	}
	dataCentre, dataCentres := v.DataCentre, base.Names("data_centre")
	if dataCentre == "" && len(dataCentres) == 1 {
		dataCentre = dataCentres[0]
	}
	if dataCentre == "" {
		return &exitError{code: exitUsage, err: fmt.Errorf("name the data centre of the worker with --data-centre, one of %s", strings.Join(dataCentres, ", "))}
	}
	return v.updateDataCentre(ctx, out, base, dataCentre, func(dc *wire.DataCentre) {
		if !slices.Contains(dc.DrainingEndpoints, v.Worker) {
			dc.DrainingEndpoints = append(dc.DrainingEndpoints, v.Worker)
		}
	})
}

// setInService publishes whether a data centre is in service.
func (p *Publishing) setInService(ctx context.Context, out *Output, name string, inService bool) error {
	base, _, err := p.fetchConfig(ctx)
	if err != nil {
		return err
	}
	return p.updateDataCentre(ctx, out, base, name, func(dc *wire.DataCentre) { dc.InService = inService })
}

// updateDataCentre applies edit to a data centre of base and publishes the result.
// It fails with a conflict if the data centre was changed after base was read.
func (p *Publishing) updateDataCentre(ctx context.Context, out *Output, base *decl.Set, name string, edit func(*wire.DataCentre)) error {
	o := base.Get(decl.Key{Kind: "data_centre", Name: name})
	if o == nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s", conf.UnknownNameText("data_centre", name, base.Names("data_centre")))}
	}
	edited := proto.CloneOf(o)
	edit(edited.GetDataCentre())
	return p.publish(ctx, out, base, decl.Diff(base, []*wire.Object{edited}, false), false)
}
