// Command catkinpoint is every process of the scheduler.
package main

func main() {}
