#include "meshd/configurationcommand.h"

#include <ostream>

#include "mesh/configurationcheck.h"
#include "node/outcome.h"
#include "node/settings.h"
#include "platform/configurationdraft.h"

namespace cactusdeck::meshd {

namespace {

using mesh::ConfigurationDifference;
using mesh::DifferenceKind;

Result<platform::DraftReading> readDraftFile(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return platform::readDraft(text, file);
}

Result<mesh::ConfigurationDraft> readVersionInForce(const std::string &file)
{
    BOOST_LEAF_AUTO(reading, readDraftFile(file));
    if (!reading.draft)
        return reading.faults.error(ErrorKind::InvalidArgument);
    return std::move(*reading.draft);
}

std::string lineOf(const ConfigurationDifference &difference, const ConfigurationFiles &files)
{
    const bool isRemoved = difference.kind == DifferenceKind::Removed;
    std::string line = (isRemoved ? files.against : files.file) + ": "
                       + platform::pathOf(difference.place) + ": ";
    if (!difference.subject.empty())
        line += difference.subject + " ";
    if (difference.kind == DifferenceKind::Changed)
        return line + "changed from " + difference.from + " to " + difference.to;
    if (!isRemoved)
        return line + "added";
    line += "removed";
    return difference.place.field == mesh::DraftField::Route ? line + ", open flows are reset"
                                                             : line;
}

void showDifferences(const mesh::ConfigurationDraft &inForce, const mesh::ConfigurationDraft &draft,
                     const ConfigurationFiles &files, std::ostream &out)
{
    const auto differences = mesh::differencesBetween(inForce, draft);
    for (const ConfigurationDifference &difference : differences)
        out << lineOf(difference, files) << '\n';
    if (differences.empty())
        out << files.file << ": no differences from " << files.against << '\n';
}

} // namespace

int checkConfigurationFile(const ConfigurationFiles &files, std::ostream &out, std::ostream &err)
{
    std::optional<mesh::ConfigurationDraft> inForce;
    if (!files.against.empty()) {
        auto outcome = outcomeOf([&] { return readVersionInForce(files.against); });
        if (!outcome) {
            err << outcome.error.message << '\n';
            return exitUnusable;
        }
        inForce = std::move(outcome.value);
    }
    auto outcome = outcomeOf([&] { return readDraftFile(files.file); });
    if (!outcome) {
        err << outcome.error.message << '\n';
        return exitUnusable;
    }
    platform::DraftReading &reading = *outcome.value;
    const bool isReadable = reading.draft.has_value();
    if (isReadable) {
        for (const auto &finding :
             mesh::checkConfiguration(*reading.draft, inForce ? &*inForce : nullptr))
            reading.faults.add(platform::pathOf(finding.place),
                               "got " + finding.found + ", expected " + finding.expected);
    }
    const bool isValid = reading.faults.isEmpty();
    out << (isValid ? files.file + ": valid" : reading.faults.lines()) << '\n';
    if (!isReadable)
        out << files.file << ": not checked further before this is corrected\n";
    else if (inForce)
        showDifferences(*inForce, *reading.draft, files, out);
    return isValid ? exitValid : exitFindings;
}

} // namespace cactusdeck::meshd
