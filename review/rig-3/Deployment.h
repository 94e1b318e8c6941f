#pragma once

#include "Rig.h"

#include <thread>

namespace Rig
{

/// A small deployment: a store, three replicas of an order service, and entries in three zones.
class Deployment
{
public:
    /// Reads the command line of a case: the program of the entries, the folder of the case and a temporary folder.
    Deployment(int argc, char **argv);

    /// Starts the replicas and writes the configuration; then starts the entries. Ends the case if they don't get ready.
    void start(int entries, const Json &firstConfiguration, const std::function<void(ReplicaSettings &)> &adapt = {});
    /// Ends all processes and then the case.
    [[noreturn]] void finish(int result);

    Record record;
    RunBook book;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<Entry>> entries;
    /// Whether the disruption takes place.
    bool hasTrouble;

private:
    std::string program;
    std::string folder;
};

/// Clients that send orders on kept connections, one after the other, to all entries.
class OrderLoad
{
public:
    OrderLoad(Deployment &deployment, int clients);
    /// Ends the clients. Returns how many orders were passed on to a replica and had their kept connection closed without an answer.
    int stop();

private:
    struct Order {
        std::string id;
        bool isCut = false;
    };

    void run(int client);

    Deployment &deployment;
    std::mutex mutex;
    std::vector<Order> orders;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
};

} // namespace Rig
