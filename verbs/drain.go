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

// Drain is the verb drain.
type Drain struct {
	DataCentre DrainDataCentre `cmd:"" name:"data_centre" help:"Take a data centre out of service."`
	Endpoint   DrainEndpoint   `cmd:"" help:"Start the graceful shutdown of a worker's endpoint."`
}

// DrainDataCentre is the verb drain data_centre.
type DrainDataCentre struct {
	Publishing
	Name string `arg:"" help:"Name of the data centre."`
}

// Run publishes that no task starts in the data centre.
func (v *DrainDataCentre) Run(ctx context.Context, out *Output) error {
	return v.setInService(ctx, out, v.Name, false)
}

// DrainEndpoint is the verb drain endpoint.
type DrainEndpoint struct {
	Publishing
	Worker     string `arg:"" help:"Name of the worker."`
	DataCentre string `name:"data-centre" placeholder:"NAME" help:"Data centre of the worker; needed if there are several."`
}

// Run publishes that the worker's endpoint accepts no new work.
func (v *DrainEndpoint) Run(ctx context.Context, out *Output) error {
	base, _, err := v.fetch(ctx)
	if err != nil {
		return err
	}
	name, names := v.DataCentre, base.Names("data_centre")
	if name == "" && len(names) == 1 {
		name = names[0]
	}
	if name == "" {
		return &exitError{code: exitUsage, err: fmt.Errorf("name the data centre of the worker with --data-centre, one of %s", strings.Join(names, ", "))}
	}
	return v.update(ctx, out, base, name, func(dc *wire.DataCentre) {
		if !slices.Contains(dc.DrainingEndpoints, v.Worker) {
			dc.DrainingEndpoints = append(dc.DrainingEndpoints, v.Worker)
		}
	})
}

func (p *Publishing) setInService(ctx context.Context, out *Output, name string, inService bool) error {
	base, _, err := p.fetch(ctx)
	if err != nil {
		return err
	}
	return p.update(ctx, out, base, name, func(dc *wire.DataCentre) { dc.InService = inService })
}

// update publishes a change of one data centre that is based on its revision.
func (p *Publishing) update(ctx context.Context, out *Output, base *decl.Set, name string, edit func(*wire.DataCentre)) error {
	o := base.Get(decl.Key{Kind: "data_centre", Name: name})
	if o == nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s", conf.UnknownNameText("data_centre", name, base.Names("data_centre")))}
	}
	edited := proto.CloneOf(o)
	edit(edited.GetDataCentre())
	return p.publish(ctx, out, base, decl.Diff(base, []*wire.Object{edited}, false), false)
}
