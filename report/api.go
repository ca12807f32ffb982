package report

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/entry"
)

// Path is the prefix of the paths of all queries.
const Path = "/v1/admin/"

// Authenticate returns an error unless the value of the Authorization header
// holds an operator's key.
type Authenticate func(authorization string) error

// Audit returns up to n audit records in descending order of revision, starting at
// the revision from.
type Audit func(ctx context.Context, from cicadapitch.Revision, n int) ([]configuration.AuditRecord, error)

// Sources provide the data for the queries.
type Sources struct {
	Configurations cicadapitch.ConfigurationSource
	Members        cicadapitch.Members
	Statistics     Statistics
	Audit          Audit
}

// maxAuditRecordsPerPage is equal to the maximum in the tag of auditInput.Limit.
const maxAuditRecordsPerPage = 200

// Register adds the queries to an API. All of them require an operator's key.
func Register(api huma.API, s Sources, authenticate Authenticate) {
	register(api, authenticate, "configuration", "The configuration in force on this host", s.configuration)
	register(api, authenticate, "status", "All hosts with their state, revision, claims and load", s.status)
	register(api, authenticate, "costs", "Cost by stage, of the requests that entered at this host", s.costs)
	register(api, authenticate, "attainment", "How requests ended that entered at this host", s.attainment)
	registerAudit(api, s, authenticate)
}

type queryInput struct {
	Authorization string `header:"Authorization"`
}

type queryOutput[B any] struct{ Body B }

// register adds one query without parameters.
func register[B any](api huma.API, authenticate Authenticate, name, summary string, query func() (B, error)) {
	huma.Register(api, operation(name, summary),
		func(_ context.Context, in *queryInput) (*queryOutput[B], error) {
			if err := authenticate(in.Authorization); err != nil {
				return nil, entry.NewAPIError(err)
			}
			body, err := query()
			if err != nil {
				return nil, entry.NewAPIError(err)
			}
			return &queryOutput[B]{Body: body}, nil
		})
}

// operation returns the description of a query.
func operation(name, summary string) huma.Operation {
	return huma.Operation{
		OperationID: "report-" + name,
		Method:      http.MethodGet,
		Path:        Path + name,
		Summary:     summary,
		Tags:        []string{"Reports"},
	}
}

// Status is the state of all hosts as one host, Self, sees it.
type Status struct {
	Self    cicadapitch.HostID
	Members []cicadapitch.Member
}

// AttainmentPage holds the attainment entries of one host.
type AttainmentPage struct {
	Host    cicadapitch.HostID
	Entries []Attainment
}

// CostPage holds the stage costs of one host.
type CostPage struct {
	Host    cicadapitch.HostID
	Entries []StageCost
}

// AuditPage holds audit records, the newest first. Next is the revision that the
// next page begins with, 0 if there is none.
type AuditPage struct {
	Records []configuration.AuditRecord
	Next    cicadapitch.Revision
}

func (s Sources) configuration() (*cicadapitch.Configuration, error) {
	cfg := s.Configurations.Current()
	if cfg == nil {
		return nil, cicadapitch.NewError(cicadapitch.NotFound, "there is no configuration yet",
			"apply the first one with: cicadapitch configuration apply")
	}
	return cfg, nil
}

func (s Sources) status() (Status, error) {
	return Status{Self: s.Members.Self().Host, Members: s.Members.Members()}, nil
}

func (s Sources) costs() (CostPage, error) {
	return CostPage{Host: s.Members.Self().Host, Entries: s.Statistics.Costs()}, nil
}

func (s Sources) attainment() (AttainmentPage, error) {
	return AttainmentPage{Host: s.Members.Self().Host, Entries: s.Statistics.Attainment()}, nil
}

type auditInput struct {
	Authorization string `header:"Authorization"`
	From          int64  `query:"From" minimum:"0" doc:"Revision to begin with, 0 for the newest"`
	Limit         int    `query:"Limit" minimum:"1" maximum:"200" default:"50"`
}

func registerAudit(api huma.API, s Sources, authenticate Authenticate) {
	huma.Register(api, operation("audit", "The audit trail, the newest change first"),
		func(ctx context.Context, in *auditInput) (*queryOutput[AuditPage], error) {
			if err := authenticate(in.Authorization); err != nil {
				return nil, entry.NewAPIError(err)
			}
			page, err := s.audit(ctx, cicadapitch.Revision(in.From), min(in.Limit, maxAuditRecordsPerPage))
			if err != nil {
				return nil, entry.NewAPIError(err)
			}
			return &queryOutput[AuditPage]{Body: page}, nil
		})
}

// audit returns a page of up to limit audit records, the newest first. It begins
// with the revision from, or with the current revision if from is 0.
func (s Sources) audit(ctx context.Context, from cicadapitch.Revision, limit int) (AuditPage, error) {
	cfg, err := s.configuration()
	if err != nil {
		return AuditPage{}, err
	}
	if from == 0 || from > cfg.Revision {
		from = cfg.Revision
	}
	records, err := s.Audit(ctx, from, limit)
	if err != nil {
		return AuditPage{}, cicadapitch.Wrap(err)
	}
	page := AuditPage{Records: records}
	if len(records) == limit {
		page.Next = records[len(records)-1].Revision - 1
	}
	return page, nil
}
