package cicadapitch

import "fmt"

// HostID identifies an entry host. It comes from the host's settings.
type HostID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, which contains one or more availability zones.
type RegionID string

// EndpointID identifies one back end, such as a model replica or a plain service.
type EndpointID string

// PoolID identifies a set of interchangeable endpoints.
type PoolID string

// ShardID identifies a shard: a group of endpoints of one pool and one zone that
// a single host owns at a time.
type ShardID string

// CustomerID identifies a customer.
type CustomerID string

// PipelineID identifies a pipeline.
type PipelineID string

// StageID identifies a stage within its pipeline.
type StageID string

// ModelID identifies a model.
type ModelID string

// ModelVersion identifies one version of a model.
type ModelVersion string

// SoftwareVersion identifies the version of an endpoint's software, not of its model.
type SoftwareVersion string

// AdapterID identifies an adapter that an engine loads in addition to a model.
type AdapterID string

// OperatorID identifies an operator.
type OperatorID string

// ChangeID identifies one change of the configuration. The caller generates the
// id. If the answer is lost, the caller can check by the id whether the change was
// applied.
type ChangeID string

// RequestID identifies one request of a caller. It is unique across all hosts.
type RequestID string

// Incarnation identifies one run of a daemon process. Each process draws one at
// random when it starts; it is never reused.
type Incarnation uint64

// Revision is the sequence number of an accepted configuration, starting at 1.
type Revision int64

// FencingNumber is the fencing token of a shard's owner. Each later owner has a
// higher number, so that commands of an earlier owner can be rejected.
type FencingNumber int64

// AttemptID identifies one attempt at one stage of one request.
type AttemptID struct {
	Request RequestID
	Stage   StageID
	Number  int
}

// String formats the id as request/stage/number.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
