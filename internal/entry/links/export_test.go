package links

// Subset and Tick are what the tests see of the package's inside.
var Subset = subset

const Tick = tick
