package cicadapitch

// Tokens is a number of model tokens, read or generated.
type Tokens int64

// Slots is a number of requests that endpoints process concurrently.
type Slots int

// Cost is an amount in the accounting unit of the deployment.
type Cost float64

// Weight balances two objectives, from 0 (only the cost of stages counts) to 1
// (only end-to-end attainment counts).
type Weight float64

// Share is a customer's relative weight when customers compete for capacity.
type Share float64

// Bytes is a size in bytes.
type Bytes int64
