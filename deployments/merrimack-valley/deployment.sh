# Read by scripts/demo.
title="Merrimack Valley"
# Taken out of use in the middle of the run and brought back.
data_centre="lowell"
