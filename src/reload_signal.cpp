#include "reload_signal_p.h"

#include <csignal>

#include <pthread.h>

namespace plumsill
{
namespace
{
void maskReloadSignal(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}
}

void holdReloadSignal()
{
    maskReloadSignal(SIG_BLOCK);
}

void releaseReloadSignal()
{
    maskReloadSignal(SIG_UNBLOCK);
}
}
