"""The testbed: fitted lines of cost, the script of scale runs, and the page of capacity."""
