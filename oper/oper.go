package oper

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/store"
	"catkinpoint/wire"
)

const (
	// publishTime bounds a publication; it goes on when the caller hangs up,
	// because a change must not be left half way.
	publishTime = 20 * time.Second
	// maxChangeBytes bounds a request body; a change that the store can hold
	// takes less than four times its size as JSON.
	maxChangeBytes = 4 * store.MaxValueBytes
	// Audit entries of one answer.
	defaultEntries = 100
	maxEntries     = 1000
)

// Confirmer asks the system's processes for the version that they apply.
type Confirmer interface {
	// Confirm returns the processes that do not apply at least the version yet.
	Confirm(ctx context.Context, version int64) (missing []string, err error)
}

// Options of the API; all fields are needed.
type Options struct {
	KV        store.KV
	Follower  *head.Follower
	Publisher *head.Publisher
	Confirmer Confirmer
}

type api struct {
	Options
}

// Mount adds the API to a group whose prefix goes before /v1.
func Mount(g *echo.Group, options Options) {
	a := &api{options}
	g.POST("/v1/changes", a.change)
	g.GET("/v1/config", a.config)
	g.GET("/v1/audit", a.audit)
	g.GET("/v1/in_force", a.inForce)
}

// change publishes the change in the body, or only validates it with ?dry_run=true.
func (a *api) change(c echo.Context) error {
	dryRun, err := boolParam(c, "dry_run")
	if err != nil {
		return badRequest(c, err)
	}
	change := &wire.Change{}
	if err := readBody(c, change); err != nil {
		return badRequest(c, err)
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(c.Request().Context()), publishTime)
	defer stop()
	result, err := a.Publisher.Publish(ctx, change, dryRun)
	if err != nil {
		klog.Infof("oper: change %s of %s was not accepted: %v", change.GetId(), change.GetAuthor(), err)
		return fail(c, err)
	}
	if !dryRun && !result.AlreadyPublished {
		klog.Infof("oper: version %d was published for %s: %s", result.Version, change.GetAuthor(), change.GetReason())
	}
	return answer(c, http.StatusOK, &wire.ChangeResponse{
		Version:          result.Version,
		ChangeId:         change.GetId(),
		DryRun:           dryRun,
		AlreadyPublished: result.AlreadyPublished,
		Warnings:         wireFaults(result.Warnings),
	})
}

// config returns the followed set; ?fresh=true reads the head first, and ?kind=
// and ?name= select objects.
func (a *api) config(c echo.Context) error {
	fresh, err := boolParam(c, "fresh")
	if err != nil {
		return badRequest(c, err)
	}
	kind, name := c.QueryParam("kind"), c.QueryParam("name")
	if kind != "" && decl.NewObject(decl.Key{Kind: kind}) == nil {
		return badRequest(c, fmt.Errorf("%s", conf.Unknown("kind", kind, decl.Kinds())))
	}
	if fresh {
		if err := a.Follower.Poll(c.Request().Context()); err != nil {
			return fail(c, err)
		}
	}
	now := a.Follower.Current()
	if now.ReadAt.IsZero() {
		return fail(c, store.ErrUnavailable)
	}
	response := &wire.ConfigResponse{Version: now.Set.Version(), AgeMs: time.Since(now.ReadAt).Milliseconds()}
	for o := range now.Set.Objects() {
		if (kind == "" || o.GetKind() == kind) && (name == "" || o.GetName() == name) {
			response.Objects = append(response.Objects, o)
		}
	}
	return answer(c, http.StatusOK, response)
}

// audit returns verified entries from ?first= to ?last=; without first it
// returns the newest up to last.
func (a *api) audit(c echo.Context) error {
	first, err := intParam(c, "first")
	if err != nil {
		return badRequest(c, err)
	}
	last, err := intParam(c, "last")
	if err != nil {
		return badRequest(c, err)
	}
	if last == 0 {
		if err := a.Follower.Poll(c.Request().Context()); err != nil {
			return fail(c, err)
		}
		last = a.Follower.Current().Set.Version()
	}
	if first == 0 {
		first = max(1, last-defaultEntries+1)
	}
	if last-first >= maxEntries {
		return badRequest(c, fmt.Errorf("one answer holds up to %d entries, asked for %d", maxEntries, last-first+1))
	}
	entries, err := head.ReadAudit(c.Request().Context(), a.KV, first, last)
	if err != nil {
		return fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.AuditResponse{Entries: entries})
}

// inForce tells whether every process applies ?version=, or else the followed version.
func (a *api) inForce(c echo.Context) error {
	version, err := intParam(c, "version")
	if err != nil {
		return badRequest(c, err)
	}
	if version == 0 {
		version = a.Follower.Current().Set.Version()
	}
	missing, err := a.Confirmer.Confirm(c.Request().Context(), version)
	if err != nil {
		return fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.InForceResponse{Version: version, InForce: len(missing) == 0, Missing: missing})
}

func boolParam(c echo.Context, name string) (bool, error) {
	text := c.QueryParam(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("%s: expected true or false, got %q", name, text)
	}
	return v, nil
}

// intParam returns 0 for an absent parameter.
func intParam(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 1 {
		return 0, fmt.Errorf("%s: expected a whole number above 0, got %q", name, text)
	}
	return v, nil
}
