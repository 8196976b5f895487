#include "scenario/statement.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

namespace cactusdeck::scenario {

namespace detail {

struct Scale
{
    Unit unit = Unit::Number;
    double factor = 1;
};

struct Quantity
{
    double value = 0;
    Scale scale;
};

using Token = boost::variant<Quantity, std::string>;

struct Line
{
    boost::optional<Quantity> at;
    std::vector<Token> tokens;
};

} // namespace detail

} // namespace cactusdeck::scenario

BOOST_FUSION_ADAPT_STRUCT(cactusdeck::scenario::detail::Quantity, value, scale)
BOOST_FUSION_ADAPT_STRUCT(cactusdeck::scenario::detail::Line, at, tokens)

namespace cactusdeck::scenario {

namespace {

namespace x3 = boost::spirit::x3;
using detail::Line;
using detail::Quantity;
using detail::Scale;
using detail::Token;

struct Units : x3::symbols<Scale>
{
    Units()
    {
        this->add("us", { Unit::Seconds, 1e-6 })("ms", { Unit::Seconds, 1e-3 })(
                "s", { Unit::Seconds, 1 })("%", { Unit::Percent, 0.01 })("/s",
                                                                         { Unit::PerSecond, 1 });
    }
};

const Units units;

const auto isEnd = !x3::char_("a-zA-Z0-9_.-");
const auto quantity = x3::rule<struct QuantityTag, Quantity>("quantity") = x3::double_
                                                                           >> (units
                                                                               | x3::attr(Scale{}))
                                                                           >> isEnd;
const auto name = x3::rule<struct NameTag, std::string>("name") =
        x3::lexeme[x3::char_("a-zA-Z") >> *x3::char_("a-zA-Z0-9_.-")];
const auto comparison = x3::rule<struct ComparisonTag, std::string>("comparison") =
        x3::string("<=") | x3::string(">=") | x3::string("=");
const auto token = x3::rule<struct TokenTag, Token>("token") =
        x3::lexeme[quantity] | name | comparison;
const auto line = x3::rule<struct LineTag, Line>("line") =
        -(x3::lexeme["at" >> isEnd] >> x3::lexeme[quantity]) >> +token;

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Word wordOf(const Token &parsed)
{
    if (const auto *text = boost::get<std::string>(&parsed))
        return { .text = *text };
    const auto &number = boost::get<Quantity>(parsed);
    return { .text = std::to_string(number.value),
             .unit = number.scale.unit,
             .value = number.value * number.scale.factor };
}

Statement parseStatement(std::string_view text, std::size_t number)
{
    Line parsed;
    auto begin = text.begin();
    const bool isParsed = x3::phrase_parse(begin, text.end(), line, x3::space, parsed);
    if (!isParsed || begin != text.end())
        throw ScenarioError(number, "unexpected \"" + std::string(begin, text.end()) + '"');
    Statement statement{ .line = number };
    if (parsed.at && parsed.at->scale.unit != Unit::Seconds)
        throw ScenarioError(number, "\"at\" must be followed by a time");
    if (parsed.at)
        statement.at = durationOf(parsed.at->value * parsed.at->scale.factor);
    for (const Token &item : parsed.tokens)
        statement.words.push_back(wordOf(item));
    if (statement.words.front().unit != Unit::Name)
        throw ScenarioError(number, "a statement must begin with a verb");
    return statement;
}

bool isBlank(std::string_view text)
{
    return text.find_first_not_of(" \t\r") == std::string_view::npos;
}

std::string_view takeUntil(std::string_view &text, char separator)
{
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

const Word &wordAt(const Statement &statement, std::size_t index)
{
    if (index >= statement.words.size())
        throw ScenarioError(statement.line, "\"" + statement.verb() + "\" needs more arguments");
    return statement.words[index];
}

const Word *find(const Statement &statement, std::string_view keyword)
{
    for (std::size_t i = 1; i < statement.words.size(); ++i) {
        if (statement.words[i].unit == Unit::Name && statement.words[i].text == keyword)
            return &wordAt(statement, i + 1);
    }
    return nullptr;
}

double seconds(const Statement &statement, const Word &word)
{
    if (word.unit != Unit::Seconds)
        throw ScenarioError(statement.line, "\"" + word.text + "\" is not a time");
    return word.value;
}

} // namespace

const std::string &Statement::name(std::size_t index) const
{
    const Word &word = wordAt(*this, index);
    if (word.unit != Unit::Name)
        throw ScenarioError(this->line, "\"" + word.text + "\" is not a name");
    return word.text;
}

double Statement::number(std::size_t index) const
{
    const Word &word = wordAt(*this, index);
    if (word.unit == Unit::Name)
        throw ScenarioError(this->line, "\"" + word.text + "\" is not a number");
    return word.value;
}

Duration Statement::time(std::size_t index) const
{
    return durationOf(seconds(*this, wordAt(*this, index)));
}

double Statement::option(std::string_view keyword, double fallback) const
{
    const Word *word = find(*this, keyword);
    if (word != nullptr && word->unit == Unit::Name)
        throw ScenarioError(this->line, "\"" + word->text + "\" is not a number");
    return word == nullptr ? fallback : word->value;
}

std::string Statement::textOption(std::string_view keyword, const std::string &fallback) const
{
    const Word *word = find(*this, keyword);
    return word == nullptr ? fallback : word->text;
}

Duration Statement::timeOption(std::string_view keyword, Duration fallback) const
{
    const Word *word = find(*this, keyword);
    return word == nullptr ? fallback : durationOf(seconds(*this, *word));
}

bool Statement::has(std::string_view keyword) const
{
    return std::any_of(this->words.begin() + 1, this->words.end(), [&](const Word &word) {
        return word.unit == Unit::Name && word.text == keyword;
    });
}

std::vector<Statement> parseScenario(std::string_view text)
{
    std::vector<Statement> statements;
    for (std::size_t number = 1; !text.empty(); ++number) {
        std::string_view rest = takeUntil(text, '\n');
        rest = takeUntil(rest, '#');
        while (!rest.empty()) {
            const std::string_view part = takeUntil(rest, ';');
            if (!isBlank(part))
                statements.push_back(parseStatement(part, number));
        }
    }
    return statements;
}

} // namespace cactusdeck::scenario
