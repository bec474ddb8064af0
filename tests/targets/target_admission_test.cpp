#include "targets/targets.h"

#include <catch2/catch.hpp>
