#include "Workload.h"

namespace Godwitfork
{

namespace
{
const std::vector<std::string> blazonPrompts {
    "Azure, a bend or between two mullets argent. Describe the crest for a signet ring of 14 mm.",
    "Per pale gules and argent, a lion rampant counterchanged. Suggest a lettering for the motto.",
    "Vert, three escallops or, on a chief ermine a demi-stag issuant. Describe it for a wedding spoon.",
    "Quarterly or and sable, in the first quarter an oak leaf vert. Which parish record names this family?",
};

const std::vector<std::string> orderPrompts {
    "Order 4711: 120 reading diaries, 12 by 17 cm, thread-sewn, imprint 'Buchhandlung am See'. Proofread the imprint.",
    "Order 4712: 40 copies, cover linen dark green, ribbon red, delivery in calendar week 51. Draft the layout sheet.",
    "Order 4713: 75 copies with a name page for each reader. Check the list of names for doubled entries.",
};

/// Long prompt with twelve entries for each year.
std::string makeLongPrompt(int years)
{
    std::string text = "Summarise these reader entries by year. ";
    for (int year = 0; year < years; ++year) {
        for (int month = 1; month <= 12; ++month) {
            text += std::to_string(2016 + year) + "-" + std::to_string(month)
                + ": finished two novels and half of a travel book, lent one to my sister, noted three sentences worth keeping. ";
        }
    }
    return text;
}

/// Appends a request for a model answer, alternately complete and streamed.
void addModelRequest(std::vector<DemoRequest> &requests,
                     const std::string &account,
                     const std::string &model,
                     const std::string &text,
                     const std::string &session = {})
{
    DemoRequest request;
    request.call = requests.size() % 2 == 0 ? DemoCall::WholeAnswer : DemoCall::StreamedAnswer;
    request.account = account;
    request.key = account + "-key";
    request.target = model;
    request.text = text;
    request.session = session;
    requests.push_back(request);
}
} // namespace

std::vector<DemoRequest> demoWorkload()
{
    std::vector<DemoRequest> requests;
    for (int round = 0; round < 3; ++round) {
        for (const std::string &prompt : blazonPrompts) {
            addModelRequest(requests, "workshop", "blazon", prompt);
        }
        for (const std::string &prompt : orderPrompts) {
            addModelRequest(requests, "printers", "pool", prompt);
        }
        addModelRequest(requests, "printers", "pool", "Continue the proof of the name page.", "proof-75");
    }
    addModelRequest(requests, "printers", "pool", makeLongPrompt(10));
    addModelRequest(requests, "printers", "pool", makeLongPrompt(10));

    DemoRequest order;
    order.call = DemoCall::Order;
    order.account = "workshop";
    order.key = "workshop-key";
    order.target = "workshop-order";
    order.text = R"({"order":"signet 14 mm, gold, crest of the oak leaf","deposit":"120.00"})";
    order.idempotencyKey = "signet-2026-0815";
    requests.push_back(order);
    requests.push_back(order);
    return requests;
}

} // namespace Godwitfork
