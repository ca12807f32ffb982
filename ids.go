package cicadapitch

import "fmt"

// HostID names an entry host. It comes from the settings of the host.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, which holds one or more availability zones.
type RegionID string

// EndpointID names one back end, such as a model replica or a plain service.
type EndpointID string

// PoolID names a set of interchangeable endpoints.
type PoolID string

// ShardID names a group of endpoints of one pool and one zone that always has
// a single owner.
type ShardID string

// CustomerID names a customer.
type CustomerID string

// PipelineID names a pipeline.
type PipelineID string

// StageID names a stage within its pipeline.
type StageID string

// ModelID names a model and ModelVersion one version of it.
type ModelID string

// ModelVersion names one version of a model.
type ModelVersion string

// AdapterID names an adapter that is loaded beside a model.
type AdapterID string

// OperatorID names an operator who may give orders.
type OperatorID string

// ChangeID names one change of the configuration. The caller mints it, so that
// a lost answer can be settled by reading back.
type ChangeID string

// RequestID names one request of a caller. It is unique over all hosts.
type RequestID string

// Incarnation identifies one life of a daemon process. It is drawn at random
// at the start and is never used again.
type Incarnation uint64

// Revision numbers the accepted configurations, starting at 1.
type Revision int64

// FencingNumber orders the owners of one shard. A later owner has a higher
// number.
type FencingNumber int64

// AttemptID names one attempt at one stage of one request.
type AttemptID struct {
	Request RequestID
	Stage   StageID
	Number  int
}

// String returns the attempt as request/stage/number.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
