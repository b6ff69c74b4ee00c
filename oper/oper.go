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
	// publishTimeout bounds a publication. A publication goes on when the caller
	// disconnects, because a change must not be left half applied.
	publishTimeout = 20 * time.Second
	// maxChangeBytes bounds a request body; a change that the store can hold
	// takes less than four times its size as JSON.
	maxChangeBytes = 4 * store.MaxValueBytes
	// Number of audit entries in one answer, by default and at most.
	defaultAuditEntries = 100
	maxAuditEntries     = 1000
)

// Confirmer asks the processes of the system which configuration version they apply.
type Confirmer interface {
	// Confirm returns the processes that do not apply the version, or a later one, yet.
	Confirm(ctx context.Context, version int64) (missing []string, err error)
}

// Options are the parts that the API uses; all fields are required.
type Options struct {
	KV        store.KV
	Follower  *head.Follower
	Publisher *head.Publisher
	Confirmer Confirmer
}

type api struct {
	Options
}

// Mount adds the API to a group of routes, below the prefix of the group.
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
		return writeBadRequest(c, err)
	}
	change := &wire.Change{}
	if err := readBody(c, change); err != nil {
		return writeBadRequest(c, err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), publishTimeout)
	defer cancel()
	result, err := a.Publisher.Publish(ctx, change, dryRun)
	if err != nil {
		klog.Infof("oper: change %s of %s was not accepted: %v", change.GetId(), change.GetAuthor(), err)
		return writeError(c, err)
	}
	if !dryRun && !result.AlreadyPublished {
		klog.Infof("oper: version %d was published for %s: %s", result.Version, change.GetAuthor(), change.GetReason())
	}
	return writeMessage(c, http.StatusOK, &wire.ChangeResponse{
		Version:          result.Version,
		ChangeId:         change.GetId(),
		DryRun:           dryRun,
		AlreadyPublished: result.AlreadyPublished,
		Warnings:         wireFaults(result.Warnings),
	})
}

// config returns the configuration as this process last read it. With ?fresh=true it
// reads the configuration head first; ?kind= and ?name= select objects.
func (a *api) config(c echo.Context) error {
	fresh, err := boolParam(c, "fresh")
	if err != nil {
		return writeBadRequest(c, err)
	}
	kind, name := c.QueryParam("kind"), c.QueryParam("name")
	if kind != "" && decl.NewObject(decl.Key{Kind: kind}) == nil {
		return writeBadRequest(c, fmt.Errorf("%s", conf.UnknownNameText("kind", kind, decl.Kinds())))
	}
	if fresh {
		if err := a.Follower.Poll(c.Request().Context()); err != nil {
			return writeError(c, err)
		}
	}
	current := a.Follower.Current()
	if current.ReadAt.IsZero() {
		return writeError(c, store.ErrUnavailable)
	}
	response := &wire.ConfigResponse{Version: current.Set.Version(), AgeMs: time.Since(current.ReadAt).Milliseconds()}
	for o := range current.Set.Objects() {
		if (kind == "" || o.GetKind() == kind) && (name == "" || o.GetName() == name) {
			response.Objects = append(response.Objects, o)
		}
	}
	return writeMessage(c, http.StatusOK, response)
}

// audit returns the audit entries from ?first= to ?last=, after verifying their
// hashes. Without last it ends with the newest audit entry, and without first it
// returns up to defaultAuditEntries of them.
func (a *api) audit(c echo.Context) error {
	first, err := intParam(c, "first")
	if err != nil {
		return writeBadRequest(c, err)
	}
	last, err := intParam(c, "last")
	if err != nil {
		return writeBadRequest(c, err)
	}
	if last == 0 {
		if err := a.Follower.Poll(c.Request().Context()); err != nil {
			return writeError(c, err)
		}
		last = a.Follower.Current().Set.Version()
	}
	if first == 0 {
		first = max(1, last-defaultAuditEntries+1)
	}
	if last-first >= maxAuditEntries {
		return writeBadRequest(c, fmt.Errorf("one answer holds up to %d entries, asked for %d", maxAuditEntries, last-first+1))
	}
	entries, err := head.ReadAudit(c.Request().Context(), a.KV, first, last)
	if err != nil {
		return writeError(c, err)
	}
	return writeMessage(c, http.StatusOK, &wire.AuditResponse{Entries: entries})
}

// inForce answers whether every process applies ?version=, or else the version that
// this process last read.
func (a *api) inForce(c echo.Context) error {
	version, err := intParam(c, "version")
	if err != nil {
		return writeBadRequest(c, err)
	}
	if version == 0 {
		version = a.Follower.Current().Set.Version()
	}
	missing, err := a.Confirmer.Confirm(c.Request().Context(), version)
	if err != nil {
		return writeError(c, err)
	}
	return writeMessage(c, http.StatusOK, &wire.InForceResponse{Version: version, InForce: len(missing) == 0, Missing: missing})
}

// boolParam returns false for an absent parameter.
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
