// Package placement connects an entry host with the planner: it chooses the host that plans, asks it, tells it how
// requests fare, and plans itself where it is chosen or where no planner answers.
package placement
