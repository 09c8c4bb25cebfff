#pragma once

namespace plumsill
{
/// Lets a SIGHUP wait until releaseReloadSignal(); without a handler it would end the process. Called before any thread starts.
void holdReloadSignal();
/// Delivers a SIGHUP that has waited, and later ones at once.
void releaseReloadSignal();
}
