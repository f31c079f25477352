// Command harness2 runs the cases of the second review that are scripts: it starts control instances and nodes with the commands of
// the deploy file, plays the platform around them, and checks one rule.
package main
